import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * Stand-in of the platform's store. Keeps objects as JSON text. Answers lists page by
 * page, watches, POST, PUT and DELETE as the page on the protocol says. The driver writes
 * as the operator and as the runners with {@link #put} and {@link #remove}.
 */
final class Store implements AutoCloseable {

	/** A page has about 500 objects or 1 MB. */
	private static final int PAGE_OBJECTS = 500;

	private static final int PAGE_BYTES = 1_000_000;

	private record Item(String name, long revision, String spec) {

		String json() {
			return "{\"metadata\":{\"name\":\"" + this.name + "\",\"revision\":" + this.revision
					+ ",\"created\":1,\"finalizers\":[],\"deleting\":false},\"spec\":" + this.spec
					+ ",\"status\":null}";
		}

	}

	private record Event(String kind, Item item, boolean deleted) {
	}

	private final Map<String, TreeMap<String, Item>> kinds = new HashMap<>();

	private final List<Event> events = new ArrayList<>();

	private long revision = 100;

	private final HttpServer server;

	Store() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 200);
		this.server.setExecutor(Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task, "store");
			thread.setDaemon(true);
			return thread;
		}));
		this.server.createContext("/objects/", this::handle);
		this.server.start();
	}

	String address() {
		return "127.0.0.1:" + this.server.getAddress().getPort();
	}

	/** Writes an object; the return is the store's ack. */
	synchronized long put(String kind, String name, String spec) {
		Item item = new Item(name, ++this.revision, spec);
		this.kinds.computeIfAbsent(kind, (key) -> new TreeMap<>()).put(name, item);
		this.events.add(new Event(kind, item, false));
		notifyAll();
		return this.revision;
	}

	synchronized long remove(String kind, String name) {
		Item removed = this.kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
		if (removed != null) {
			this.events.add(new Event(kind, new Item(name, ++this.revision, removed.spec()), true));
			notifyAll();
		}
		return this.revision;
	}

	private void handle(HttpExchange exchange) throws IOException {
		try {
			String[] path = exchange.getRequestURI().getPath().split("/");
			String kind = path[2];
			String name = (path.length > 3) ? path[3] : null;
			Map<String, String> query = query(exchange.getRequestURI().getQuery());
			String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
			switch (exchange.getRequestMethod()) {
				case "GET" -> get(exchange, kind, name, query);
				case "POST" -> write(exchange, kind, between(body, "\"name\":\"", "\""), body, true);
				case "PUT" -> write(exchange, kind, name, body, false);
				default -> answer(exchange, 405, "{}");
			}
		}
		catch (RuntimeException | InterruptedException ex) {
			answer(exchange, 400, "{}");
		}
	}

	private void get(HttpExchange exchange, String kind, String name, Map<String, String> query)
			throws IOException, InterruptedException {
		if (query.containsKey("watch")) {
			watch(exchange, kind, Long.parseLong(query.get("watch")),
					Long.parseLong(query.getOrDefault("wait-ms", "0")));
			return;
		}
		String response;
		int status = 200;
		synchronized (this) {
			TreeMap<String, Item> items = this.kinds.getOrDefault(kind, new TreeMap<>());
			if (name != null) {
				Item item = items.get(name);
				status = (item != null) ? 200 : 404;
				response = (item != null) ? item.json() : "{}";
			}
			else {
				StringBuilder page = new StringBuilder();
				int count = 0;
				boolean more = false;
				for (Item item : items.tailMap(query.getOrDefault("after", ""), false).values()) {
					String json = item.json();
					if (count > 0 && (count >= PAGE_OBJECTS || page.length() + json.length() > PAGE_BYTES)) {
						more = true;
						break;
					}
					page.append((count++ > 0) ? "," : "").append(json);
				}
				response = "{\"items\":[" + page + "],\"has-more\":" + more + ",\"store-revision\":" + this.revision
						+ "}";
			}
		}
		answer(exchange, status, response);
	}

	private void watch(HttpExchange exchange, String kind, long from, long waitMillis)
			throws IOException, InterruptedException {
		long end = System.nanoTime() + waitMillis * 1_000_000;
		StringBuilder found = new StringBuilder();
		long at;
		synchronized (this) {
			while (true) {
				for (Event event : this.events) {
					if (event.kind().equals(kind) && event.item().revision() > from) {
						found.append((found.length() > 0) ? "," : "")
							.append("{\"object\":")
							.append(event.item().json())
							.append(",\"deleted\":")
							.append(event.deleted())
							.append('}');
					}
				}
				long left = (end - System.nanoTime()) / 1_000_000;
				if (found.length() > 0 || left <= 0) {
					break;
				}
				wait(left);
			}
			at = this.revision;
		}
		answer(exchange, 200, "{\"events\":[" + found + "],\"store-revision\":" + at + "}");
	}

	private void write(HttpExchange exchange, String kind, String name, String body, boolean create)
			throws IOException {
		int colon = body.indexOf("\"spec\":");
		String spec = body.substring(colon + 7, body.lastIndexOf('}'));
		int status;
		String response;
		synchronized (this) {
			Item known = this.kinds.getOrDefault(kind, new TreeMap<>()).get(name);
			if (create == (known != null)) {
				status = create ? 409 : 404;
				response = create ? known.json() : "{}";
			}
			else {
				if (known == null || !known.spec().equals(spec)) {
					put(kind, name, spec);
				}
				status = 200;
				response = this.kinds.get(kind).get(name).json();
			}
		}
		answer(exchange, status, response);
	}

	private static Map<String, String> query(String text) {
		Map<String, String> query = new HashMap<>();
		for (String pair : ((text != null) ? text : "").split("&")) {
			int equals = pair.indexOf('=');
			if (equals > 0) {
				query.put(pair.substring(0, equals), pair.substring(equals + 1));
			}
		}
		return query;
	}

	private static String between(String text, String from, String to) {
		int start = text.indexOf(from) + from.length();
		return text.substring(start, text.indexOf(to, start));
	}

	private static void answer(HttpExchange exchange, int status, String body) throws IOException {
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.sendResponseHeaders(status, bytes.length);
		exchange.getResponseBody().write(bytes);
		exchange.close();
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

}
