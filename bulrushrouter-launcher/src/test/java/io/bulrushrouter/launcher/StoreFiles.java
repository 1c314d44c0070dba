package io.bulrushrouter.launcher;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * A stand-in for the platform's store whose objects are files and never change. The last
 * part of a path names the file.
 */
final class StoreFiles implements AutoCloseable {

	private static final Path DIRECTORY = Path.of("..", "platform", "src", "test", "resources", "entry-process");

	/** Time after which a watch ends without a change. */
	private static final long WATCH_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final HttpServer server;

	private final ExecutorService executor = Executors.newCachedThreadPool();

	private final Map<String, Integer> ports;

	/**
	 * Starts the store.
	 * @param ports the ports that replace their names in braces
	 */
	StoreFiles(Map<String, Integer> ports) throws IOException {
		this.ports = ports;
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
		this.server.setExecutor(this.executor);
		this.server.createContext("/", this::handle);
		this.server.start();
	}

	int port() {
		return this.server.getAddress().getPort();
	}

	private void handle(HttpExchange exchange) throws IOException {
		String name = Path.of(exchange.getRequestURI().getPath()).getFileName().toString();
		String query = exchange.getRequestURI().getQuery();
		boolean watches = query != null && query.contains("watch");
		if (watches) {
			LockSupport.parkNanos(WATCH_NANOS);
		}
		exchange.getRequestBody().readAllBytes();
		byte[] body = read(watches ? "empty" : name).getBytes(StandardCharsets.UTF_8);
		exchange.sendResponseHeaders(200, body.length);
		exchange.getResponseBody().write(body);
		exchange.close();
	}

	private String read(String name) {
		Path file = DIRECTORY.resolve(name + ".json");
		try {
			String text = Files.readString(Files.exists(file) ? file : DIRECTORY.resolve("empty.json"));
			for (Map.Entry<String, Integer> port : this.ports.entrySet()) {
				text = text.replace("{{" + port.getKey() + "}}", port.getValue().toString());
			}
			return text;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	@Override
	public void close() {
		this.server.stop(0);
		this.executor.shutdownNow();
	}

}
