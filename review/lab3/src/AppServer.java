import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in of an application runner. It names itself in the store every 1,200 ms, runs
 * each request for some milliseconds and answers with its stamp. It runs nothing that
 * names another runner and says so with 421.
 */
final class AppServer implements AutoCloseable {

	/** Which of its answers it fails, and how. */
	enum Trouble {

		NONE,

		/** The request has run; then it answers 503, without a word that it hasn't run. */
		UNAVAILABLE_AFTER_RUN

	}

	final String id;

	/** How often each attempt has run, by its identifier. */
	static final Map<String, AtomicInteger> RUNS = new ConcurrentHashMap<>();

	/** How often each request of a user has run, over all of its attempts. */
	static final Map<String, AtomicInteger> RUNS_BY_BODY = new ConcurrentHashMap<>();

	/** The tenant that the runner was told, by attempt, one character for each byte. */
	static final Map<String, String> TENANTS = new ConcurrentHashMap<>();

	/** The service that has run an attempt. */
	static final Map<String, String> SERVICES = new ConcurrentHashMap<>();

	private final ServerSocket socket;

	private final Store store;

	private final String service;

	private final Record record;

	private final int workMillis;

	private volatile Trouble trouble = Trouble.NONE;

	private volatile double troubleShare;

	private volatile boolean closed;

	AppServer(Store store, String service, String id, int workMillis, Record record) throws IOException {
		this.store = store;
		this.service = service;
		this.id = id;
		this.workMillis = workMillis;
		this.record = record;
		this.socket = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
		daemon(this::accept);
		daemon(this::heartbeat);
	}

	void trouble(Trouble kind, double share) {
		this.troubleShare = share;
		this.trouble = kind;
	}

	private static void daemon(Runnable task) {
		Thread thread = new Thread(task, "app-server");
		thread.setDaemon(true);
		thread.start();
	}

	private void heartbeat() {
		for (int sequence = 1; !this.closed; sequence++) {
			this.store.put("servers", this.id,
					"{\"service\":\"" + this.service + "\",\"address\":\"127.0.0.1:" + this.socket.getLocalPort()
							+ "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
							+ "\"warmup-left-ms\":0,\"sequence\":" + sequence + "}");
			pause(1_200);
		}
	}

	private static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private void accept() {
		while (!this.closed) {
			try {
				Socket channel = this.socket.accept();
				daemon(() -> serve(channel));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket channel) {
		try (channel) {
			channel.setTcpNoDelay(true);
			InputStream in = new BufferedInputStream(channel.getInputStream());
			Map<String, String> head = readHead(in);
			while (head != null) {
				byte[] body = in.readNBytes(Integer.parseInt(head.getOrDefault("content-length", "0")));
				respond(head, new String(body, StandardCharsets.ISO_8859_1), channel.getOutputStream());
				head = readHead(in);
			}
		}
		catch (IOException ex) {
			// The caller has closed the channel.
		}
	}

	private void respond(Map<String, String> head, String body, OutputStream out) throws IOException {
		String attempt = head.getOrDefault("bulrushrouter-attempt-id", "");
		String expected = head.getOrDefault("bulrushrouter-expect-instance", this.id);
		if (!expected.equals(this.id)) {
			write(out, "421 Misdirected Request", attempt, "", "");
			return;
		}
		if (head.get("").contains("/healthz")) {
			write(out, "200 OK", attempt, "Bulrushrouter-Instance-Id: " + this.id + "\r\n", "");
			return;
		}
		int runs = RUNS.computeIfAbsent(attempt, (key) -> new AtomicInteger()).incrementAndGet();
		if (!body.isEmpty()) {
			RUNS_BY_BODY.computeIfAbsent(body, (key) -> new AtomicInteger()).incrementAndGet();
		}
		TENANTS.put(attempt, head.getOrDefault("bulrushrouter-tenant", ""));
		SERVICES.put(attempt, this.service);
		pause(this.workMillis);
		boolean fails = this.trouble != Trouble.NONE && ThreadLocalRandom.current().nextDouble() < this.troubleShare;
		String status = fails ? "503 Service Unavailable" : "200 OK";
		this.record.line("runner " + this.id + " has run " + attempt + " (" + runs + ") and answers " + status);
		write(out, status, attempt, "Bulrushrouter-Server-Stamp: " + this.id + "." + attempt + "\r\n",
				fails ? "the confirmation could not be sent" : "done " + attempt);
	}

	private static void write(OutputStream out, String status, String attempt, String headers, String body)
			throws IOException {
		out.write(("HTTP/1.1 " + status + "\r\nBulrushrouter-Attempt-Id: " + attempt + "\r\n" + headers
				+ "Keep-Alive: timeout=10\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
			.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	/** Reads a head; the field without a name is the first line. */
	static Map<String, String> readHead(InputStream in) throws IOException {
		Map<String, String> head = new HashMap<>();
		String line = readLine(in);
		if (line == null) {
			return null;
		}
		head.put("", line);
		line = readLine(in);
		while (line != null && !line.isEmpty()) {
			int colon = line.indexOf(':');
			head.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
			line = readLine(in);
		}
		return head;
	}

	private static String readLine(InputStream in) throws IOException {
		StringBuilder line = new StringBuilder();
		int next = in.read();
		while (next >= 0 && next != '\n') {
			if (next != '\r') {
				line.append((char) next);
			}
			next = in.read();
		}
		return (next < 0 && line.isEmpty()) ? null : line.toString();
	}

	@Override
	public void close() throws IOException {
		this.closed = true;
		this.socket.close();
	}

}
