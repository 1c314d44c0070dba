package lab;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;

/**
 * What the cases share: settings and processes of a small deployment, a caller, the record, and the end of a case.
 */
final class Lab {

	static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

	private static final int BROKEN = 10;

	private static final long START_NANOS = System.nanoTime();

	private static final StringBuilder record = new StringBuilder();

	private static final StringBuilder details = new StringBuilder();

	private static final List<Process> processes = new ArrayList<>();

	private Lab() {
	}

	/** Work that may fail. */
	interface Work {

		void run() throws Exception;

	}

	static void daemon(String name, Work work) {
		Thread thread = new Thread(() -> {
			try {
				work.run();
			}
			catch (Exception ex) {
				log(name + " ended: " + ex);
			}
		}, name);
		thread.setDaemon(true);
		thread.start();
	}

	static synchronized void log(String line) {
		record.append(String.format("%9.3f  %s%n", (System.nanoTime() - START_NANOS) / 1e9, line));
	}

	/** Adds a line about one request, for the end of the record. */
	static synchronized void detail(long nanos, String line) {
		details.append(String.format("%9.3f  %s%n", (nanos - START_NANOS) / 1e9, line));
	}

	/** Runs a case: 10 if the rule was broken, 0 if it held, 2 if the case could not run. */
	static void run(Callable<Boolean> holds) {
		int code = 2;
		Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.forEach(Process::destroyForcibly)));
		try {
			log("trouble=" + (TROUBLE ? 1 : 0));
			boolean held = holds.call();
			code = held ? 0 : BROKEN;
			log(held ? "the rule held" : "THE RULE WAS BROKEN");
		}
		catch (Throwable ex) {
			log("the case could not run: " + ex);
		}
		finally {
			processes.forEach(Process::destroyForcibly);
			processes.forEach((each) -> each.onExit().join());
			try {
				Files.writeString(Path.of(System.getenv("RECORD")), record + (details.isEmpty() ? "" : "each request:\n" + details));
			}
			catch (IOException ex) {
				code = 2;
			}
		}
		System.out.print(record);
		System.exit(code);
	}

	static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
			return socket.getLocalPort();
		}
	}

	/** A gateway process, started with the command of the deploy file. */
	record Gateway(Process process, int port, int readyPort, Path log) {

		void signal(String name) throws Exception {
			Process kill = new ProcessBuilder("sh", "-c", "kill -" + name + " " + process().pid()).start();
			if (kill.waitFor() != 0) {
				throw new IOException("kill -" + name + " failed");
			}
			Lab.log("gateway: SIG" + name);
		}

	}

	static Gateway startGateway(String name, int storePort) throws Exception {
		int port = freePort();
		int readyPort = freePort();
		Path folder = Path.of(System.getenv("WORK"));
		String settings = Files.readString(Path.of("platform/entry.ini.template"));
		Map<String, String> values = Map.ofEntries(Map.entry("node-name", name), Map.entry("zone", "zone-a"),
				Map.entry("limits.memory-mb", "430"), Map.entry("limits.max-fds", "4200"),
				Map.entry("listen.frontend", "127.0.0.1:" + port), Map.entry("listen.ready", "127.0.0.1:" + readyPort),
				Map.entry("ip}}:9464", ""), Map.entry("platform.address", "127.0.0.1:" + storePort),
				Map.entry("bounds.retry-budget-ratio", "0.2"), Map.entry("bounds.budget-slack", "92"),
				Map.entry("bounds.retry-window-s", "10"), Map.entry("bounds.revoke-ms", "5000"),
				Map.entry("bounds.revoke-fail-closed", "true"), Map.entry("bounds.config-apply-ms", "2000"),
				Map.entry("bounds.grace-s", "8"));
		settings = settings.replace("{{ip}}:9464", "127.0.0.1:" + freePort());
		settings = settings.replaceAll("(?s)\\{\\{#bounds.evacuate-ms}}.*\\{\\{/bounds.evacuate-ms}}", "");
		for (Map.Entry<String, String> each : values.entrySet()) {
			settings = settings.replace("{{" + each.getKey() + "}}", each.getValue());
		}
		Path file = folder.resolve(name + ".ini");
		Files.writeString(file, settings);
		Path log = folder.resolve(name + ".log");
		ProcessBuilder builder = new ProcessBuilder(System.getenv("ENTRY_COMMAND").split(" "));
		builder.environment().put("BULRUSHROUTER_BOOT", file.toString());
		builder.redirectErrorStream(true).redirectOutput(log.toFile());
		Process process = builder.start();
		processes.add(process);
		Gateway gateway = new Gateway(process, port, readyPort, log);
		long end = System.nanoTime() + 30_000_000_000L;
		while (!ready(gateway)) {
			if (System.nanoTime() > end || !process.isAlive()) {
				throw new IOException("the gateway is not ready: " + Files.readString(log));
			}
			Thread.sleep(50);
		}
		log(name + ": ready");
		return gateway;
	}

	private static boolean ready(Gateway gateway) {
		try (Caller caller = new Caller(gateway.readyPort())) {
			caller.send("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
			return caller.read().status() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	/** Writes a configuration and returns the time of the ack. */
	static long configure(Store store, int version, String routes, String services, String tenants) {
		long ack = store.put("config", "main", "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":["
				+ services + "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
				+ "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":[" + tenants + "]}");
		log("operator: version " + version + " acknowledged");
		return ack;
	}

	static String route(String prefix, String kind, String service) {
		return "{\"name\":\"r-" + prefix + "\",\"host\":\"kitchen.example\",\"path-prefix\":\"/" + prefix
				+ "/\",\"route-kind\":\"" + kind + "\",\"timeout-ms\":3000,\"goal-ms\":300,\"priority\":2,\"service\":\""
				+ service + "\",\"max-attempts\":2,\"anonymous\":false,\"sticky\":false,\"resumable\":false}";
	}

	static String service(String name) {
		return "{\"name\":\"" + name
				+ "\",\"health-path\":\"/healthz\",\"max-conns\":110,\"protocol\":\"h1\",\"tls\":false}";
	}

	/** The head of a request, with its blank line. */
	static String request(String method, String target, String id, int contentLength) {
		return method + " " + target + " HTTP/1.1\r\nHost: kitchen.example\r\nBulrushrouter-Attempt-Id: " + id
				+ "\r\nBulrushrouter-Deadline-Ms: 3000\r\n"
				+ ((contentLength > 0) ? "Content-Length: " + contentLength + "\r\n" : "") + "\r\n";
	}

	/** A caller's connection. */
	static final class Caller implements AutoCloseable {

		private final Socket socket;

		private final BufferedInputStream in;

		Caller(int port) throws IOException {
			this(port, 10_000);
		}

		Caller(int port, int readMillis) throws IOException {
			this.socket = new Socket("127.0.0.1", port);
			this.socket.setTcpNoDelay(true);
			this.socket.setSoTimeout(readMillis);
			this.in = new BufferedInputStream(this.socket.getInputStream());
		}

		void send(String text) throws IOException {
			send(text.getBytes(StandardCharsets.ISO_8859_1));
		}

		void send(byte[] bytes) throws IOException {
			this.socket.getOutputStream().write(bytes);
		}

		Http.Message read() throws IOException {
			Http.Message answer = Http.read(this.in);
			if (answer == null) {
				throw new IOException("the connection ended without an answer");
			}
			return answer;
		}

		@Override
		public void close() {
			try {
				this.socket.close();
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}

	}

}
