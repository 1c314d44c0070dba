package io.bulrushrouter.launcher;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * An upstream that reads requests and answers them as a test decides.
 */
final class UpstreamStandin implements AutoCloseable {

	private static final String IDENTIFIER = ClientShape.NAMES.attemptId();

	private final ServerSocket server = new ServerSocket(0, 1_024, InetAddress.getLoopbackAddress());

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final Answers answers;

	/**
	 * Starts an upstream.
	 * @param answers decides how each request is answered
	 */
	UpstreamStandin(Answers answers) throws IOException {
		this.answers = answers;
		start(this::accept);
	}

	/**
	 * Starts an upstream that answers each request with the same response.
	 * @return the upstream
	 */
	static UpstreamStandin fixed() throws IOException {
		return new UpstreamStandin(
				(request, connection) -> connection.getOutputStream().write(response(request.field(IDENTIFIER))));
	}

	/**
	 * Starts an upstream that answers no request.
	 * @return the upstream
	 */
	static UpstreamStandin silent() throws IOException {
		return new UpstreamStandin((request, connection) -> {
		});
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
			Optional<Request> request = readRequest(in);
			while (request.isPresent()) {
				this.answers.answer(request.get(), socket);
				request = readRequest(in);
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

	// Returns empty at the end of the connection.
	private static Optional<Request> readRequest(InputStream in) throws IOException {
		Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		String first = readLine(in);
		String line = first;
		while (line != null && !line.isEmpty()) {
			int colon = line.indexOf(':');
			if (line != first && colon > 0) {
				fields.put(line.substring(0, colon), line.substring(colon + 1).strip());
			}
			line = readLine(in);
		}
		in.skipNBytes(Long.parseLong(fields.getOrDefault("Content-Length", "0")));
		return (line != null) ? Optional.of(new Request(first, fields)) : Optional.empty();
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

	/**
	 * Decides how requests are answered.
	 */
	@FunctionalInterface
	interface Answers {

		/**
		 * Answers a request.
		 * @param request the request
		 * @param connection the connection on which it came
		 * @throws IOException if the connection has ended
		 */
		void answer(Request request, Socket connection) throws IOException;

	}

	/**
	 * A request.
	 *
	 * @param line the request line
	 * @param fields the header fields by name
	 */
	record Request(String line, Map<String, String> fields) {

		/**
		 * Returns a header field.
		 * @param name the name
		 * @return the value, empty if the request has no such field
		 */
		String field(String name) {
			return this.fields.getOrDefault(name, "");
		}

	}

}
