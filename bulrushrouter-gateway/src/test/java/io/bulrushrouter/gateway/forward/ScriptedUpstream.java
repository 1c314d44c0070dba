package io.bulrushrouter.gateway.forward;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;

/**
 * An upstream that responds to each request as a test scripts it, byte by byte.
 */
final class ScriptedUpstream implements AutoCloseable {

	private static final int BACKLOG = 50;

	private volatile ServerSocket serverSocket;

	private final Script script;

	private final ExecutorService threads = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		return thread;
	});

	private final List<String> requests = new CopyOnWriteArrayList<>();

	private final List<Socket> connections = new CopyOnWriteArrayList<>();

	private volatile String probeHeader = "";

	private volatile boolean readsHeadsOnly;

	private ScriptedUpstream(Script script) throws IOException {
		this.script = script;
		this.serverSocket = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
	}

	static ScriptedUpstream start(Script script) throws IOException {
		ScriptedUpstream upstream = new ScriptedUpstream(script);
		upstream.threads.execute(upstream::accept);
		return upstream;
	}

	/**
	 * Returns a header of a request.
	 * @param request the request
	 * @param name the name of the header
	 * @return the value, empty if the request has no such header
	 */
	static String header(String request, String name) {
		int start = request.indexOf("\r\n" + name + ": ");
		return (start < 0) ? "" : request.substring(start + name.length() + 4, request.indexOf('\r', start + 2));
	}

	/**
	 * Starts an upstream whose instance is suspended: its kernel accepts connections and
	 * receives requests, which are read after {@link #resume()}.
	 * @param script the script
	 * @return the upstream
	 * @throws IOException if no port is free
	 */
	static ScriptedUpstream startSuspended(Script script) throws IOException {
		return new ScriptedUpstream(script);
	}

	/**
	 * Starts an upstream that reads the heads of requests and leaves their bodies to the
	 * script.
	 * @param script the script
	 * @return the upstream
	 * @throws IOException if no port is free
	 */
	static ScriptedUpstream startReadingHeads(Script script) throws IOException {
		ScriptedUpstream upstream = new ScriptedUpstream(script);
		upstream.readsHeadsOnly = true;
		upstream.serverSocket.setReceiveBufferSize(4_096);
		upstream.resume();
		return upstream;
	}

	/**
	 * Resumes a suspended upstream.
	 */
	void resume() {
		this.threads.execute(this::accept);
	}

	/**
	 * Sets a header of the responses to probes.
	 * @param header the header with its line end
	 * @return this upstream
	 */
	ScriptedUpstream probeHeader(String header) {
		this.probeHeader = header;
		return this;
	}

	InetSocketAddress address() {
		return (InetSocketAddress) this.serverSocket.getLocalSocketAddress();
	}

	/**
	 * Ends the upstream as if its process had crashed: all connections close, and new
	 * ones are refused.
	 * @throws IOException if a socket cannot be closed
	 */
	void crash() throws IOException {
		this.serverSocket.close();
		for (Socket connection : this.connections) {
			connection.close();
		}
		this.connections.clear();
	}

	/**
	 * Returns whether the upstream has crashed and was not started again.
	 * @return whether it accepts no connections
	 */
	boolean crashed() {
		return this.serverSocket.isClosed();
	}

	/**
	 * Starts a crashed upstream again, at its address unless an outgoing connection has
	 * taken the port meanwhile.
	 * @throws IOException if no port is free
	 */
	void restart() throws IOException {
		this.serverSocket = listen(address().getPort());
		this.threads.execute(this::accept);
	}

	private static ServerSocket listen(int port) throws IOException {
		try {
			return new ServerSocket(port, BACKLOG, InetAddress.getLoopbackAddress());
		}
		catch (BindException ex) {
			return new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
		}
	}

	/**
	 * Resets all connections; the upstream goes on.
	 * @throws IOException if a socket cannot be closed
	 */
	void resetConnections() throws IOException {
		for (Socket connection : this.connections) {
			try {
				connection.setSoLinger(true, 0);
			}
			catch (SocketException ex) {
				// Closed by the gateway meanwhile.
				this.connections.remove(connection);
			}
			connection.close();
		}
		this.connections.clear();
	}

	/**
	 * Returns the received requests, each with its head and body as text. Probes, which
	 * the gateway sends on a busy machine at any time, are answered but not among them.
	 * @return the requests
	 */
	List<String> requests() {
		return this.requests;
	}

	int connections() {
		return this.connections.size();
	}

	private void accept() {
		ServerSocket accepting = this.serverSocket;
		while (!accepting.isClosed()) {
			try {
				Socket connection = accepting.accept();
				connection.setTcpNoDelay(true);
				this.connections.add(connection);
				this.threads.execute(() -> serve(connection));
			}
			catch (IOException | RejectedExecutionException ex) {
				// Closed by a crash or at the end of the test.
				this.connections.removeIf(Socket::isClosed);
			}
		}
	}

	private void serve(Socket connection) {
		try (connection) {
			InputStream in = connection.getInputStream();
			Reply reply = new Reply(connection);
			String request = readRequest(in);
			while (!request.isEmpty()) {
				if (request.startsWith("GET " + GatewayFixture.PROBE_PATH + " ")) {
					reply.write("HTTP/1.1 200 OK\r\n" + this.probeHeader + "Content-Length: 0\r\n\r\n");
				}
				else {
					this.requests.add(request);
					this.script.respond(this.requests.size(), request, reply);
				}
				request = readRequest(in);
			}
		}
		catch (IOException ex) {
			// The gateway closed the connection; the test checks what the caller
			// received.
			this.connections.contains(connection);
		}
	}

	private String readRequest(InputStream in) throws IOException {
		return this.readsHeadsOnly ? Messages.readHead(in) : Messages.readMessage(in);
	}

	@Override
	public void close() throws IOException {
		this.serverSocket.close();
		for (Socket connection : this.connections) {
			connection.close();
		}
		this.threads.shutdownNow();
	}

	/**
	 * Defines how the upstream responds.
	 */
	@FunctionalInterface
	interface Script {

		/**
		 * Responds to a request.
		 * @param number the number of the request at this upstream, from 1
		 * @param request the head and the body
		 * @param reply writes the response
		 * @throws IOException if the connection breaks
		 */
		void respond(int number, String request, Reply reply) throws IOException;

	}

	/**
	 * Writes a response.
	 */
	static final class Reply {

		private final Socket connection;

		private Reply(Socket connection) {
			this.connection = connection;
		}

		Reply write(String text) throws IOException {
			OutputStream out = this.connection.getOutputStream();
			out.write(text.getBytes(StandardCharsets.ISO_8859_1));
			out.flush();
			return this;
		}

		/**
		 * Reads the body of a request.
		 * @param length the number of its bytes
		 * @throws IOException if the connection ends before
		 */
		void skipBody(int length) throws IOException {
			this.connection.getInputStream().skipNBytes(length);
		}

		void close() throws IOException {
			this.connection.close();
		}

		/**
		 * Waits until the gateway has closed or reset the connection.
		 * @return whether it was reset
		 */
		boolean awaitReset() {
			try {
				while (this.connection.getInputStream().read() >= 0) {
					Thread.onSpinWait();
				}
				return false;
			}
			catch (IOException ex) {
				return ex.getMessage().contains("reset");
			}
		}

		void reset() throws IOException {
			this.connection.setSoLinger(true, 0);
			this.connection.close();
		}

	}

	/**
	 * Reads HTTP messages as text.
	 */
	static final class Messages {

		private Messages() {
		}

		static String readMessage(InputStream in) throws IOException {
			String head = readHead(in);
			return head + new String(in.readNBytes(contentLength(head)), StandardCharsets.ISO_8859_1);
		}

		static String readHead(InputStream in) throws IOException {
			ByteArrayOutputStream head = new ByteArrayOutputStream();
			int next = in.read();
			while (next >= 0) {
				head.write(next);
				if (head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
					break;
				}
				next = in.read();
			}
			return head.toString(StandardCharsets.ISO_8859_1);
		}

		static int contentLength(String head) {
			for (String line : head.split("\r\n")) {
				if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
					return Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
				}
			}
			return 0;
		}

	}

}
