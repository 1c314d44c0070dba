import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * Stand-ins of the platform's store, of runners and requesters, and the start of the
 * project's processes with the commands of the deploy file. All of it is on loopback
 * addresses and the real clock.
 */
public class Lab {

	/** The rule was kept. */
	static final int KEPT = 0;

	/** The rule was broken. */
	static final int BROKEN = 11;

	/** The case could not run. */
	static final int NOT_RUN = 2;

	/** Ends a case that hangs: the limit of a case is 120 s. */
	static final long WATCHDOG_MILLIS = 110_000;

	static final String HOST = "127.0.0.1";

	/** One case. */
	interface Case {

		int run(boolean trouble, Path folder) throws Exception;

	}

	/** Runs a case, ends all processes that it started, and exits with its result. */
	static void run(String[] args, Case body) {
		int result = NOT_RUN;
		start(() -> {
			sleep(WATCHDOG_MILLIS);
			System.err.println("the case did not end in time");
			Program.endAll();
			Runtime.getRuntime().halt(NOT_RUN);
		});
		Path folder = null;
		try {
			record = new PrintStream(new FileOutputStream(args[0]), true);
			folder = Files.createTempDirectory("bulrush-review");
			boolean trouble = !"0".equals(System.getenv("TROUBLE"));
			log("trouble=" + trouble);
			result = body.run(trouble, folder);
		}
		catch (Throwable ex) {
			ex.printStackTrace();
			if (record != System.out) {
				log("the case could not run: " + ex);
			}
		}
		finally {
			Program.endAll();
			remove(folder);
		}
		log((result == BROKEN) ? "the rule was broken" : (result == KEPT) ? "the rule was kept" : "not run");
		System.out.println((result == BROKEN) ? "the rule was broken" : (result == KEPT) ? "the rule was kept" : "not run");
		Runtime.getRuntime().halt(result);
	}

	private static void remove(Path folder) {
		if (folder == null) {
			return;
		}
		File[] files = folder.toFile().listFiles();
		if (files != null) {
			for (File file : files) {
				file.delete();
			}
		}
		folder.toFile().delete();
	}

	static final long T0 = System.nanoTime();

	static double now() {
		return (System.nanoTime() - T0) / 1e9;
	}

	static PrintStream record = System.out;

	static synchronized void log(String text) {
		record.println(String.format(Locale.ROOT, "%8.3f ", now()) + text);
		record.flush();
	}

	static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	static void start(Runnable task) {
		Thread thread = new Thread(null, task, "lab", 256 * 1024);
		thread.setDaemon(true);
		thread.start();
	}

	/** Reads one HTTP message. */
	static final class Message {

		String first;

		Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

		byte[] body = new byte[0];

		boolean complete;

		String header(String name) {
			return this.headers.get(name);
		}

		static String line(InputStream in) throws IOException {
			ByteArrayOutputStream line = new ByteArrayOutputStream();
			int read = in.read();
			if (read < 0) {
				return null;
			}
			while (read >= 0 && read != '\n') {
				line.write(read);
				read = in.read();
			}
			String text = line.toString(StandardCharsets.ISO_8859_1);
			return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
		}

		static Message head(InputStream in) throws IOException {
			Message message = new Message();
			message.first = line(in);
			if (message.first == null) {
				return null;
			}
			for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
				int colon = line.indexOf(':');
				message.headers.put(line.substring(0, colon), line.substring(colon + 1).strip());
			}
			return message;
		}

		static Message read(InputStream in, boolean response) throws IOException {
			Message message = head(in);
			if (message == null) {
				return null;
			}
			String length = message.header("Content-Length");
			if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
				ByteArrayOutputStream body = new ByteArrayOutputStream();
				while (true) {
					String size = line(in);
					if (size == null || size.isEmpty()) {
						message.body = body.toByteArray();
						return message;
					}
					int bytes = Integer.parseInt(size.strip(), 16);
					byte[] part = in.readNBytes(bytes);
					body.write(part);
					if (part.length < bytes) {
						message.body = body.toByteArray();
						return message;
					}
					line(in);
					if (bytes == 0) {
						break;
					}
				}
				message.body = body.toByteArray();
				message.complete = true;
			}
			else if (length != null) {
				int bytes = Integer.parseInt(length);
				message.body = in.readNBytes(bytes);
				message.complete = message.body.length == bytes;
			}
			else if (response) {
				message.body = in.readAllBytes();
				message.complete = true;
			}
			else {
				message.complete = true;
			}
			return message;
		}

	}

	/** The platform's store. */
	static final class Store {

		final ServerSocket server;

		final Map<String, TreeMap<String, String[]>> kinds = new HashMap<>();

		final List<Object[]> history = new ArrayList<>();

		long revision = 100;

		volatile boolean down;

		/** What a page of a list holds at most; one object at least. */
		volatile int pageBytes = 1_048_576;

		Store(String host) throws IOException {
			this.server = new ServerSocket(0, 512, InetAddress.getByName(host));
			Lab.start(() -> {
				while (true) {
					try {
						Socket socket = this.server.accept();
						Lab.start(() -> serve(socket));
					}
					catch (IOException ex) {
						return;
					}
				}
			});
		}

		synchronized long put(String kind, String name, String spec) {
			String[] known = this.kinds.computeIfAbsent(kind, (key) -> new TreeMap<>()).get(name);
			if (known != null && known[0].equals(spec)) {
				return Long.parseLong(known[1]);
			}
			this.revision++;
			this.kinds.get(kind).put(name, new String[] { spec, Long.toString(this.revision) });
			this.history.add(new Object[] { this.revision, kind, name, spec });
			notifyAll();
			return this.revision;
		}

		synchronized void delete(String kind, String name) {
			this.kinds.computeIfAbsent(kind, (key) -> new TreeMap<>()).remove(name);
			this.revision++;
			this.history.add(new Object[] { this.revision, kind, name, null });
			notifyAll();
		}

		static String object(String name, String spec, long revision) {
			return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + revision
					+ ",\"created\":1,\"finalizers\":[],\"deleting\":false},\"spec\":" + spec + ",\"status\":null}";
		}

		private void serve(Socket socket) {
			try (socket) {
				socket.setTcpNoDelay(true);
				InputStream in = new BufferedInputStream(socket.getInputStream());
				OutputStream out = socket.getOutputStream();
				for (Message message = Message.read(in, false); message != null; message = Message.read(in, false)) {
					String[] words = message.first.split(" ");
					Thread.sleep(4);
					if (this.down) {
						reply(out, 503, "{}");
						continue;
					}
					answer(words[0], URI.create(words[1]), new String(message.body, StandardCharsets.UTF_8), out);
				}
			}
			catch (IOException | InterruptedException ex) {
				// The process has closed the channel.
			}
		}

		static void reply(OutputStream out, int status, String body) throws IOException {
			byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
			ByteArrayOutputStream all = new ByteArrayOutputStream();
			all.write(("HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length
					+ "\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			all.write(bytes);
			out.write(all.toByteArray());
			out.flush();
		}

		private void answer(String method, URI uri, String body, OutputStream out)
				throws IOException, InterruptedException {
			String[] path = uri.getPath().split("/");
			String kind = path[2];
			Map<String, String> query = new HashMap<>();
			if (uri.getQuery() != null) {
				for (String pair : uri.getQuery().split("&")) {
					int equals = pair.indexOf('=');
					query.put(pair.substring(0, equals), pair.substring(equals + 1));
				}
			}
			if (method.equals("GET") && query.containsKey("watch")) {
				watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("wait-ms", "0")),
						out);
				return;
			}
			String reply;
			int status = 200;
			synchronized (this) {
				TreeMap<String, String[]> objects = this.kinds.computeIfAbsent(kind, (key) -> new TreeMap<>());
				if (method.equals("GET")) {
					StringJoiner items = new StringJoiner(",");
					int length = 0;
					int count = 0;
					boolean more = false;
					for (Map.Entry<String, String[]> each : objects
						.tailMap(query.getOrDefault("after", ""), false)
						.entrySet()) {
						length += each.getValue()[0].length();
						if (count > 0 && (length > this.pageBytes || count >= 500)) {
							more = true;
							break;
						}
						count++;
						items.add(object(each.getKey(), each.getValue()[0], Long.parseLong(each.getValue()[1])));
					}
					reply = "{\"items\":[" + items + "],\"has-more\":" + more + ",\"store-revision\":"
							+ this.revision + "}";
				}
				else {
					String name = (path.length > 3) ? path[3] : text(body, "name");
					String spec = raw(body, "spec");
					boolean exists = objects.containsKey(name);
					if (method.equals("POST") && exists) {
						status = 409;
						reply = object(name, objects.get(name)[0], Long.parseLong(objects.get(name)[1]));
					}
					else if (method.equals("PUT") && !exists) {
						status = 404;
						reply = "{}";
					}
					else {
						long written = put(kind, name, spec);
						reply = object(name, spec, written);
					}
				}
			}
			reply(out, status, reply);
		}

		private void watch(String kind, long from, long waitMillis, OutputStream out)
				throws IOException, InterruptedException {
			long end = System.nanoTime() + waitMillis * 1_000_000;
			String reply;
			synchronized (this) {
				String events = events(kind, from);
				while (events.isEmpty() && System.nanoTime() < end) {
					wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
					events = events(kind, from);
				}
				reply = "{\"events\":[" + events + "],\"store-revision\":" + this.revision + "}";
			}
			reply(out, 200, reply);
		}

		private String events(String kind, long from) {
			StringJoiner events = new StringJoiner(",");
			for (Object[] change : this.history) {
				if ((long) change[0] > from && change[1].equals(kind)) {
					boolean deleted = change[3] == null;
					events.add("{\"deleted\":" + deleted + ",\"object\":"
							+ object((String) change[2], deleted ? "null" : (String) change[3], (long) change[0]) + "}");
				}
			}
			return events.toString();
		}

		static String text(String json, String field) {
			String raw = raw(json, field);
			return raw.substring(1, raw.length() - 1);
		}

		/** Returns the text of a field's value; names of fields occur once in what is written here. */
		static String raw(String json, String field) {
			int at = json.indexOf("\"" + field + "\":") + field.length() + 3;
			int depth = 0;
			boolean quoted = false;
			for (int index = at; index < json.length(); index++) {
				char each = json.charAt(index);
				if (quoted) {
					quoted = each != '"';
				}
				else if (each == '"') {
					quoted = true;
				}
				else if (each == '{' || each == '[') {
					depth++;
				}
				else if (each == '}' || each == ']' || each == ',') {
					if (depth == 0) {
						return json.substring(at, index).strip();
					}
					depth -= (each == ',') ? 0 : 1;
				}
			}
			return json.substring(at).strip();
		}

	}

	/** What a runner does with a request. */
	interface Work {

		void run(Runner runner, Socket socket, InputStream in, OutputStream out, Message message) throws Exception;

	}

	/** A runner of a service. */
	static final class Runner {

		final ServerSocket server;

		final String id;

		final String service;

		final String zone;

		final int slots;

		final Work work;

		final List<Socket> sockets = Collections.synchronizedList(new ArrayList<>());

		final Store store;

		final long born = System.currentTimeMillis();

		volatile boolean gone;

		volatile String state = "ready";

		int sequence;

		Runner(Store store, String host, String id, String service, String zone, int slots, Work work)
				throws IOException {
			this.server = new ServerSocket(0, 512, InetAddress.getByName(host));
			this.id = id;
			this.service = service;
			this.zone = zone;
			this.slots = slots;
			this.work = work;
			this.store = store;
			Lab.start(() -> {
				while (!this.gone) {
					try {
						Socket socket = this.server.accept();
						this.sockets.add(socket);
						Lab.start(() -> serve(socket));
					}
					catch (IOException ex) {
						return;
					}
				}
			});
			beat();
			Lab.start(() -> {
				while (!this.gone) {
					Lab.sleep(1_200);
					beat();
				}
			});
		}

		synchronized void beat() {
			if (!this.gone) {
				this.store.put("servers", this.id,
						"{\"service\":\"" + this.service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + this.zone
								+ "\",\"version\":\"v1\",\"slots\":" + this.slots + ",\"state\":\"" + this.state
								+ "\",\"warmup-left-ms\":0,\"stage\":\"both\",\"models\":[],\"sequence\":"
								+ ++this.sequence + ",\"born\":" + this.born + "}");
			}
		}

		/** Ends the runner as one that has drained. */
		void end() throws IOException {
			synchronized (this) {
				this.gone = true;
				this.store.delete("servers", this.id);
			}
			this.server.close();
			for (Socket socket : List.copyOf(this.sockets)) {
				socket.close();
			}
		}

		String address() {
			return this.server.getInetAddress().getHostAddress() + ":" + this.server.getLocalPort();
		}

		private void serve(Socket socket) {
			try (socket) {
				socket.setTcpNoDelay(true);
				InputStream in = new BufferedInputStream(socket.getInputStream());
				OutputStream out = socket.getOutputStream();
				for (Message message = Message.read(in, false); message != null; message = Message.read(in, false)) {
					if (message.first.startsWith("GET /report") || message.first.startsWith("GET /healthz")) {
						Store.reply(out, 200, "{\"busy\":false,\"running\":0,\"queued\":0}");
						continue;
					}
					String expected = message.header("Bulrushrouter-Expect-Instance");
					if (expected != null && !expected.equals(this.id)) {
						Store.reply(out, 421, "{}");
						continue;
					}
					this.work.run(this, socket, in, out, message);
				}
			}
			catch (Exception ex) {
				// The process has closed the channel.
			}
		}

	}

	static String answerHead(Message request, int status, String more) {
		return "HTTP/1.1 " + status + " X\r\nBulrushrouter-Attempt-Id: " + request.header("Bulrushrouter-Attempt-Id")
				+ "\r\nBulrushrouter-Server-Stamp: stamp-" + request.header("Bulrushrouter-Attempt-Id") + "\r\n" + more
				+ "\r\n";
	}

	/** A process of the project. */
	static final class Program {

		private static final List<Process> STARTED = Collections.synchronizedList(new ArrayList<>());

		final Process process;

		final Path settings;

		final Path output;

		static void endAll() {
			for (Process process : List.copyOf(STARTED)) {
				process.destroyForcibly();
				try {
					process.waitFor(5, TimeUnit.SECONDS);
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}
		}

		List<String> lines() throws IOException {
			return Files.readAllLines(this.output);
		}

		Program(String role, String name, String ini, Path folder) throws IOException {
			this.settings = folder.resolve(name + ".ini");
			Files.writeString(this.settings, ini);
			String run = null;
			boolean section = false;
			for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
				if (line.startsWith("[")) {
					section = line.equals("[roles." + role + "]");
				}
				else if (section && line.startsWith("run = ")) {
					run = line.substring(7, line.lastIndexOf('"'));
				}
			}
			ProcessBuilder builder = new ProcessBuilder(run.split(" "));
			builder.environment().put("BULRUSHROUTER_BOOT", this.settings.toString());
			builder.redirectErrorStream(true);
			this.output = folder.resolve(name + ".log");
			builder.redirectOutput(this.output.toFile());
			this.process = builder.start();
			STARTED.add(this.process);
			Runtime.getRuntime().addShutdownHook(new Thread(this.process::destroyForcibly));
		}

	}

	static int freePort(String host) throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
			return socket.getLocalPort();
		}
	}

	/** A gateway entry of a small deployment. */
	static final class Entry {

		final String host;

		final int port;

		final int ready;

		final int metrics;

		final Program program;

		/** Starts an entry and waits until it is ready; another port is tried if one was taken meanwhile. */
		static Entry startReady(Store store, String name, Path folder) throws IOException {
			for (int attempt = 1;; attempt++) {
				Entry entry = new Entry(store, HOST, name, "z-a", 430, folder);
				try {
					entry.awaitReady();
					return entry;
				}
				catch (IllegalStateException ex) {
					if (attempt == 3 || entry.program.process.isAlive()) {
						throw ex;
					}
				}
			}
		}

		Entry(Store store, String host, String name, String zone, int memory, Path folder) throws IOException {
			this.host = host;
			this.port = freePort(host);
			this.ready = freePort(host);
			this.metrics = freePort(host);
			String ini = "[instance]\nname = " + name + "\ndata-centre = " + zone + "\nmemory-mb = " + memory
					+ "\ndescriptors = 4200\n\n[listen]\ncallers = " + host + ":" + this.port + "\nreadiness = " + host
					+ ":" + this.ready + "\nmetrics = " + host + ":" + this.metrics
					+ "\n\n[source]\nkind = platform\nstore = " + store.server.getInetAddress().getHostAddress() + ":"
					+ store.server.getLocalPort()
					+ "\n\n[retry]\nratio = 0.2\nspare = 92\nwindow = 10s\n\n[keys]\nfreshness = 5000ms\n"
					+ "fail-closed = true\n\n[configuration]\napply = 2000ms\n\n[stop]\ngrace = 8s\n";
			this.program = new Program("entry", name, ini, folder);
		}

		boolean isReady() {
			try (Socket socket = new Socket()) {
				socket.connect(new InetSocketAddress(this.host, this.ready), 300);
				socket.setSoTimeout(1_000);
				socket.getOutputStream().write("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
				Message answer = Message.read(new BufferedInputStream(socket.getInputStream()), true);
				return answer != null && answer.first.contains(" 200");
			}
			catch (IOException ex) {
				return false;
			}
		}

		void awaitReady() {
			long end = System.nanoTime() + 30_000_000_000L;
			while (!isReady()) {
				if (System.nanoTime() > end || !this.program.process.isAlive()) {
					throw new IllegalStateException("the entry does not become ready");
				}
				sleep(100);
			}
		}

		Socket connect() throws IOException {
			Socket socket = new Socket();
			socket.setTcpNoDelay(true);
			socket.connect(new InetSocketAddress(this.host, this.port), 1_000);
			return socket;
		}

	}

	static String route(String name, String prefix, String kind, int timeout, String service, int attempts,
			String more) {
		return "{\"name\":\"" + name + "\",\"host\":\"h.example\",\"path-prefix\":\"" + prefix
				+ "\",\"route-kind\":\"" + kind + "\",\"timeout-ms\":" + timeout
				+ ",\"goal-ms\":400,\"priority\":1,\"service\":\"" + service + "\",\"max-attempts\":" + attempts
				+ ",\"anonymous\":false" + more + "}";
	}

	static String manifest(long version, String routes, String services, String keys) {
		return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services
				+ "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
				+ "\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"hule930\",\"api-keys\":[" + keys
				+ "],\"priority\":1}]}";
	}

	static String service(String name) {
		return "{\"name\":\"" + name + "\",\"health-path\":\"/healthz\",\"max-conns\":348,\"protocol\":\"h1\",\"tls\":false}";
	}

	static final AtomicLong IDS = new AtomicLong(new Random().nextInt(1 << 30));

	static String newId() {
		return String.format("%016x", IDS.incrementAndGet() * 0x9e3779b97f4a7c15L);
	}

	static String requestHead(String method, String path, String id, int deadline, String more) {
		return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nBulrushrouter-Attempt-Id: " + id
				+ "\r\nBulrushrouter-Deadline-Ms: " + deadline + "\r\nBulrushrouter-Key: key1\r\n" + more + "\r\n";
	}


	/** One request and what was seen of it. */
	static final class Asked {

		final String id = newId();

		final String requester;

		final boolean kept;

		final double sent = now();

		volatile String result = "unanswered";

		volatile double ended;

		volatile boolean answered;

		volatile boolean closedWithoutAnswer;

		/** Runners that began to work on it, with the time at which it reached them. */
		final List<String> runs = Collections.synchronizedList(new ArrayList<>());

		Asked(String requester, boolean kept) {
			this.requester = requester;
			this.kept = kept;
			ASKED.put(this.id, this);
		}

		@Override
		public String toString() {
			return String.format(Locale.ROOT, "%s %s %s sent=%.3f ended=%.3f result=\"%s\" runs=%s", this.id,
					this.requester, this.kept ? "kept-channel" : "new-channel", this.sent, this.ended, this.result,
					this.runs);
		}

	}

	static final Map<String, Asked> ASKED = new ConcurrentHashMap<>();

	static List<Asked> allAsked() {
		List<Asked> all = new ArrayList<>(ASKED.values());
		all.sort(Comparator.comparingDouble((Asked each) -> each.sent));
		return all;
	}

	/** A requester that sends one request after the other on a channel that it keeps. */
	static final class Requester {

		final Entry entry;

		final String name;

		final String method;

		final String path;

		final int deadline;

		final long pauseMillis;

		volatile boolean stopped;

		Requester(Entry entry, String name, String method, String path, int deadline, long pauseMillis) {
			this.entry = entry;
			this.name = name;
			this.method = method;
			this.path = path;
			this.deadline = deadline;
			this.pauseMillis = pauseMillis;
			Lab.start(this::work);
		}

		private void work() {
			while (!this.stopped) {
				try (Socket socket = this.entry.connect()) {
					socket.setSoTimeout(this.deadline + 2_000);
					InputStream in = new BufferedInputStream(socket.getInputStream());
					boolean open = true;
					for (int number = 0; open && !this.stopped; number++) {
						open = ask(socket, in, number > 0);
						sleep(this.pauseMillis);
					}
				}
				catch (IOException ex) {
					sleep(300);
				}
			}
		}

		// Returns whether the channel may be kept.
		private boolean ask(Socket socket, InputStream in, boolean kept) {
			Asked asked = new Asked(this.name, kept);
			try {
				String body = this.method.equals("POST") ? "{\"slot\":1}" : "";
				socket.getOutputStream()
					.write((requestHead(this.method, this.path, asked.id, this.deadline,
							this.method.equals("POST") ? "Content-Length: " + body.length() + "\r\n" : "") + body)
						.getBytes(StandardCharsets.ISO_8859_1));
				Message answer = Message.read(in, true);
				asked.ended = now();
				if (answer == null || !answer.complete) {
					asked.result = "closed without a complete answer";
					asked.closedWithoutAnswer = true;
					return false;
				}
				asked.answered = true;
				asked.result = answer.first;
				return !"close".equalsIgnoreCase(answer.header("Connection"));
			}
			catch (SocketTimeoutException ex) {
				asked.ended = now();
				asked.result = "no answer";
				return false;
			}
			catch (IOException ex) {
				asked.ended = now();
				asked.result = "closed without a complete answer: " + ex.getMessage();
				asked.closedWithoutAnswer = true;
				return false;
			}
		}

	}

	/** Records that a runner begins to work on a request. */
	static void ran(Runner runner, Message request) {
		Asked asked = ASKED.get(String.valueOf(request.header("Bulrushrouter-Attempt-Id")));
		if (asked != null) {
			asked.runs.add(String.format(Locale.ROOT, "%s@%.3f", runner.id, now()));
		}
	}

	static void answer(OutputStream out, Message request, String body) throws IOException {
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		ByteArrayOutputStream all = new ByteArrayOutputStream();
		all.write(answerHead(request, 200, "Content-Length: " + bytes.length + "\r\n")
			.getBytes(StandardCharsets.ISO_8859_1));
		all.write(bytes);
		out.write(all.toByteArray());
		out.flush();
	}

}
