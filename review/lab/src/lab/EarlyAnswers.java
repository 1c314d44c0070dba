package lab;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runners answer long requests before they have read their bodies, keep the channels and read on some seconds later.
 * The gateway must go on answering everybody. TROUBLE=0: they read each body first.
 */
final class EarlyAnswers {

	private static final int BODY_BYTES = 300_000;

	private static final int UPLOADERS = 30;

	private static final long UPLOAD_GAP_MILLIS = 300;

	/** How much later a runner reads on. */
	private static final long READ_ON_MILLIS = 8_000;

	private static final int RUNNERS = 3;

	/** Channels of a runner, as the site has for its plain service; further ones are reset. */
	private static final int MAX_CONNS = 110;

	private static final long TIMEOUT_MILLIS = 3_000;

	private static volatile boolean uploading = true;

	private EarlyAnswers() {
	}

	public static void main(String[] args) {
		Lab.run(EarlyAnswers::holds);
	}

	private static boolean holds() throws Exception {
		Store store = new Store();
		Runner desk = new Runner("i-desk", "desk", (request) -> 60);
		store.put("servers", desk.id(), desk.entry("ready"));
		for (int index = 0; index < RUNNERS; index++) {
			store.put("servers", "i-" + index, startEarlyRunner("i-" + index));
		}
		Lab.configure(store, 1,
				Lab.route("upload", "non_idempotent", "booking") + "," + Lab.route("reserve", "non_idempotent", "desk"),
				Lab.service("booking") + "," + Lab.service("desk"), "");
		Lab.Gateway gateway = Lab.startGateway("edge-1", store.port());
		Thread.sleep(1_500);
		Traffic reservations = new Traffic(gateway.port(), "POST", "/reserve/slot", 6, 20);
		Thread.sleep(3_000);
		Lab.log("uploads begin");
		Map<String, AtomicInteger> results = new HashMap<>();
		for (int uploader = 0; uploader < UPLOADERS; uploader++) {
			String name = "u" + uploader;
			Lab.daemon(name, () -> upload(name, gateway.port(), results));
		}
		Thread.sleep(20_000);
		uploading = false;
		Lab.log("uploads end: " + results);
		Thread.sleep(15_000);
		int[] late = reservations.unanswered(TIMEOUT_MILLIS);
		reservations.end();
		Lab.log("15 s after the last upload: a reservation on a new channel " + probe(gateway.port())
				+ ", /readyz " + probeReady(gateway.readyPort()));
		Lab.log("reservations unanswered at the route's timeout: " + late[0] + ", of them unanswered half a second later: "
				+ late[1]);
		Lab.log("gateway: process alive " + gateway.process().isAlive() + ", errors in its log: "
				+ java.nio.file.Files.readString(gateway.log()).lines().filter((line) -> line.contains("OutOfMemoryError")).count()
				+ " lines with OutOfMemoryError");
		return late[1] < 8 || 2 * late[1] <= late[0];
	}

	private static String probe(int port) {
		return probe(port, Lab.request("POST", "/reserve/slot", "probe", 2) + "{}");
	}

	private static String probeReady(int port) {
		return probe(port, "GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
	}

	private static String probe(int port, String request) {
		try (Lab.Caller caller = new Lab.Caller(port, 3_500)) {
			caller.send(request);
			return "gets " + caller.read().status();
		}
		catch (IOException ex) {
			return "gets nothing (" + ex.getMessage() + ")";
		}
	}

	private static void upload(String name, int port, Map<String, AtomicInteger> results) throws Exception {
		byte[] body = new byte[BODY_BYTES];
		int number = 0;
		while (uploading) {
			try (Lab.Caller caller = new Lab.Caller(port)) {
				boolean open = true;
				while (uploading && open) {
					open = upload(caller, name + "-" + number++, body, results);
					Thread.sleep(UPLOAD_GAP_MILLIS);
				}
			}
			catch (IOException ex) {
				Thread.sleep(UPLOAD_GAP_MILLIS);
			}
		}
	}

	private static boolean upload(Lab.Caller caller, String id, byte[] body, Map<String, AtomicInteger> results) {
		String result;
		boolean open = false;
		Lab.detail(System.nanoTime(), "sent " + id + " POST /upload/log");
		try {
			caller.send(Lab.request("POST", "/upload/log", id, body.length));
			caller.send(body);
			Http.Message answer = caller.read();
			result = Integer.toString(answer.status());
			open = !"close".equals(answer.header("Connection"));
		}
		catch (IOException ex) {
			result = ex.getMessage();
		}
		Lab.detail(System.nanoTime(), "answered " + id + " " + result);
		synchronized (results) {
			results.computeIfAbsent(result, (key) -> new AtomicInteger()).incrementAndGet();
		}
		return open;
	}

	private static String startEarlyRunner(String id) throws IOException {
		ServerSocket server = new ServerSocket();
		server.setReceiveBufferSize(32_768);
		server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
		AtomicInteger open = new AtomicInteger();
		Lab.daemon(id, () -> {
			while (true) {
				Socket socket = server.accept();
				if (open.incrementAndGet() > MAX_CONNS) {
					open.decrementAndGet();
					socket.setSoLinger(true, 0);
					socket.close();
					continue;
				}
				Lab.daemon(id + "-connection", () -> {
					try (socket) {
						serve(id, socket);
					}
					catch (IOException ex) {
						// The caller has gone.
					}
					finally {
						open.decrementAndGet();
					}
				});
			}
		});
		return "{\"service\":\"booking\",\"address\":\"127.0.0.1:" + server.getLocalPort()
				+ "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"warmup-left-ms\":0,\"sequence\":1}";
	}

	private static void serve(String id, Socket socket) throws IOException, InterruptedException {
		while (true) {
			StringBuilder head = new StringBuilder();
			while (head.indexOf("\r\n\r\n") < 0) {
				int each = socket.getInputStream().read();
				if (each < 0) {
					return;
				}
				head.append((char) each);
			}
			int length = 0;
			String attempt = null;
			for (String line : head.toString().split("\r\n")) {
				String[] header = line.split(":", 2);
				if (header[0].equalsIgnoreCase("Content-Length")) {
					length = Integer.parseInt(header[1].strip());
				}
				if (header[0].equalsIgnoreCase("Bulrushrouter-Attempt-Id")) {
					attempt = header[1].strip();
				}
			}
			boolean early = Lab.TROUBLE && length > 0;
			if (!early) {
				socket.getInputStream().skipNBytes(length);
			}
			Lab.detail(System.nanoTime(), "ran " + attempt + " at " + id);
			String body = "answer to " + attempt;
			String answer = "HTTP/1.1 200 OK\r\nBulrushrouter-Instance-Id: " + id + "\r\nBulrushrouter-Attempt-Id: " + attempt
					+ "\r\nBulrushrouter-Server-Stamp: stamp-" + attempt + "\r\nContent-Length: " + body.length() + "\r\n\r\n"
					+ body;
			socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
			if (early) {
				TimeUnit.MILLISECONDS.sleep(READ_ON_MILLIS);
				socket.getInputStream().skipNBytes(length);
			}
		}
	}

}
