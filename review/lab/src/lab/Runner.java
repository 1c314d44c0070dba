package lab;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.ToLongFunction;

/**
 * A plain runner as PROTOCOL.md has it: it runs each request that expects it, answers with its stamp and the
 * identifier of the attempt, and keeps connections.
 */
final class Runner {

	/** A request that ran. */
	record Run(String id, String target, byte[] body, long nanos) {
	}

	private final ServerSocket server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));

	private final String id;

	private final String service;

	private final ToLongFunction<Http.Message> workMillis;

	private final Set<Socket> sockets = new HashSet<>();

	private final List<Run> runs = new ArrayList<>();

	Runner(String id, String service, ToLongFunction<Http.Message> workMillis) throws IOException {
		this.id = id;
		this.service = service;
		this.workMillis = workMillis;
		Lab.daemon("runner", () -> {
			while (!this.server.isClosed()) {
				Socket socket = accept();
				if (socket == null) {
					return;
				}
				socket.setTcpNoDelay(true);
				synchronized (this) {
					this.sockets.add(socket);
				}
				Lab.daemon("runner-connection", () -> serve(socket));
			}
		});
	}

	private Socket accept() {
		try {
			return this.server.accept();
		}
		catch (IOException ex) {
			return null;
		}
	}

	String id() {
		return this.id;
	}

	/** The entry that registers this runner in the store. */
	String entry(String state) {
		return "{\"service\":\"" + this.service + "\",\"address\":\"127.0.0.1:" + this.server.getLocalPort()
				+ "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"" + state
				+ "\",\"warmup-left-ms\":0,\"sequence\":1}";
	}

	/** Exits: its port no longer listens, and what it had at work is cut off. */
	synchronized void exit() throws IOException {
		this.server.close();
		for (Socket socket : this.sockets) {
			socket.close();
		}
		Lab.log("runner " + this.id + ": exits");
	}

	synchronized List<Run> runs() {
		return List.copyOf(this.runs);
	}

	private void serve(Socket socket) {
		try (socket) {
			BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
			Http.Message request = Http.read(in);
			while (request != null) {
				answer(request, socket);
				request = Http.read(in);
			}
		}
		catch (IOException | InterruptedException ex) {
			// The caller has gone, or this runner has exited.
		}
		synchronized (this) {
			this.sockets.remove(socket);
		}
	}

	private void answer(Http.Message request, Socket socket) throws IOException, InterruptedException {
		String expected = request.header("Bulrushrouter-Expect-Instance");
		if (expected != null && !expected.equals(this.id)) {
			write(socket, "421 Misdirected Request", "", "");
			return;
		}
		String attempt = request.header("Bulrushrouter-Attempt-Id");
		if (attempt == null) {
			write(socket, "200 OK", "Content-Type: application/json\r\n", "{}");
			return;
		}
		synchronized (this) {
			this.runs.add(new Run(attempt, request.target(), request.body(), System.nanoTime()));
			Lab.detail(System.nanoTime(), "ran " + attempt + " " + request.target() + " at " + this.id);
		}
		Thread.sleep(this.workMillis.applyAsLong(request));
		write(socket, "200 OK",
				"Bulrushrouter-Attempt-Id: " + attempt + "\r\nBulrushrouter-Server-Stamp: stamp-" + this.id + "-" + attempt
						+ "\r\nKeep-Alive: timeout=10\r\n",
				"answer to " + attempt);
	}

	private void write(Socket socket, String status, String headers, String body) throws IOException {
		String text = "HTTP/1.1 " + status + "\r\nBulrushrouter-Instance-Id: " + this.id + "\r\n" + headers
				+ "Content-Length: " + body.length() + "\r\n\r\n" + body;
		socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
	}

}
