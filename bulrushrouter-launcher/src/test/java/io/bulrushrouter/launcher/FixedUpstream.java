package io.bulrushrouter.launcher;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * An upstream that answers each request with the same response, or never.
 */
final class FixedUpstream implements AutoCloseable {

	private static final String IDENTIFIER = ClientShape.NAMES.attemptId();

	private final ServerSocket server = new ServerSocket(0, 1_024, InetAddress.getLoopbackAddress());

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final boolean silent;

	/**
	 * Starts an upstream.
	 * @param silent whether it reads requests and answers none
	 */
	FixedUpstream(boolean silent) throws IOException {
		this.silent = silent;
		start(this::accept);
	}

	int port() {
		return this.server.getLocalPort();
	}

	private static void start(Runnable task) {
		Thread thread = new Thread(task, "upstream");
		thread.setDaemon(true);
		thread.start();
	}

	private void accept() {
		try {
			while (!this.server.isClosed()) {
				Socket socket = this.server.accept();
				this.sockets.add(socket);
				start(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// The upstream is closed.
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream in = new BufferedInputStream(socket.getInputStream());
			Optional<String> identifier = readRequest(in);
			while (identifier.isPresent()) {
				if (!this.silent) {
					socket.getOutputStream().write(response(identifier.get()));
				}
				identifier = readRequest(in);
			}
		}
		catch (IOException ex) {
			// The entry has closed the connection.
		}
		this.sockets.remove(socket);
	}

	private static byte[] response(String identifier) {
		String echo = identifier.isEmpty() ? "" : IDENTIFIER + ": " + identifier + "\r\n";
		return ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + ClientShape.NAMES.stamp() + ": s\r\n" + echo + "\r\nok")
			.getBytes(StandardCharsets.ISO_8859_1);
	}

	// Returns the identifier of a request, empty text if it has none, or empty at the
	// end.
	private static Optional<String> readRequest(InputStream in) throws IOException {
		long contentLength = 0;
		String identifier = "";
		String line = readLine(in);
		while (line != null && !line.isEmpty()) {
			int colon = Math.max(0, line.indexOf(':'));
			if (line.substring(0, colon).equalsIgnoreCase("Content-Length")) {
				contentLength = Long.parseLong(line.substring(colon + 1).strip());
			}
			else if (line.substring(0, colon).equalsIgnoreCase(IDENTIFIER)) {
				identifier = line.substring(colon + 1).strip();
			}
			line = readLine(in);
		}
		in.skipNBytes(contentLength);
		return (line != null) ? Optional.of(identifier) : Optional.empty();
	}

	private static String readLine(InputStream in) throws IOException {
		StringBuilder line = new StringBuilder();
		int character = in.read();
		while (character >= 0 && character != '\n') {
			if (character != '\r') {
				line.append((char) character);
			}
			character = in.read();
		}
		return (character < 0) ? null : line.toString();
	}

	@Override
	public void close() throws IOException {
		this.server.close();
		for (Socket socket : this.sockets) {
			socket.close();
		}
	}

}
