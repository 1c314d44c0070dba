package io.bulrushrouter.launcher;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * A stand-in for the platform's store whose objects change while processes read them.
 * Specs are kept and sent as the bytes that were written, valid or not.
 */
final class ChangingStore implements AutoCloseable {

	private static final int MAX_PAGE_OBJECTS = 500;

	private static final int MAX_PAGE_BYTES = 1_000_000;

	/** Changes after which the oldest ones are discarded. */
	private static final int MAX_HISTORY = 200;

	private final HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);

	private final ExecutorService executor = Executors.newCachedThreadPool();

	private final Map<String, TreeMap<String, Item>> kinds = new TreeMap<>();

	private final List<Change> history = new ArrayList<>();

	private final Map<String, Long> watched = new TreeMap<>();

	private long revision = 10;

	private long oldestRevision = 10;

	ChangingStore() throws IOException {
		this.server.setExecutor(this.executor);
		this.server.createContext("/", this::handle);
		this.server.start();
	}

	int port() {
		return this.server.getAddress().getPort();
	}

	/**
	 * Creates or replaces an object.
	 * @param kind the kind
	 * @param name the name
	 * @param spec the bytes of the spec
	 * @return the revision of the change
	 */
	synchronized long put(String kind, String name, byte[] spec) {
		Item item = new Item(name, ++this.revision, spec);
		this.kinds.computeIfAbsent(kind, (key) -> new TreeMap<>()).put(name, item);
		changed(new Change(kind, item, false, this.revision));
		return this.revision;
	}

	/**
	 * Removes an object, if it exists.
	 * @param kind the kind
	 * @param name the name
	 */
	synchronized void remove(String kind, String name) {
		Item removed = this.kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
		if (removed != null) {
			changed(new Change(kind, removed, true, ++this.revision));
		}
	}

	/**
	 * Waits until a process that knows of a change watches for further ones.
	 * @param kind the kind of the changed object
	 * @param revision the revision of the change
	 * @param limit the longest wait
	 * @return whether one does
	 */
	synchronized boolean awaitWatch(String kind, long revision, Duration limit) throws InterruptedException {
		long end = System.nanoTime() + limit.toNanos();
		long left = limit.toMillis();
		while (this.watched.getOrDefault(kind, 0L) < revision && left > 0) {
			wait(left);
			left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
		}
		return this.watched.getOrDefault(kind, 0L) >= revision;
	}

	private void changed(Change change) {
		this.history.add(change);
		if (this.history.size() > MAX_HISTORY) {
			this.oldestRevision = this.history.remove(0).revision;
		}
		notifyAll();
	}

	private void handle(HttpExchange exchange) throws IOException {
		byte[] request = exchange.getRequestBody().readAllBytes();
		URI target = exchange.getRequestURI();
		String[] path = target.getPath().split("/");
		try {
			switch (exchange.getRequestMethod()) {
				case "GET" -> read(exchange, path, fields(target.getQuery()));
				case "DELETE" -> {
					remove(path[2], path[3]);
					respond(exchange, 200, "{}".getBytes(StandardCharsets.ISO_8859_1));
				}
				default -> write(exchange, path, new String(request, StandardCharsets.ISO_8859_1));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		exchange.close();
	}

	private static Map<String, String> fields(String query) {
		Map<String, String> fields = new TreeMap<>();
		for (String field : (query != null) ? query.split("&") : new String[0]) {
			fields.put(field.replaceFirst("=.*", ""), field.replaceFirst("[^=]*=?", ""));
		}
		return fields;
	}

	private void read(HttpExchange exchange, String[] path, Map<String, String> query)
			throws IOException, InterruptedException {
		if (path.length > 3) {
			Item item = item(path[2], path[3]);
			respond(exchange, (item != null) ? 200 : 404, (item != null) ? item.encode() : new byte[0]);
		}
		else if (query.containsKey("watch")) {
			byte[] changes = changes(path[2], Long.parseLong(query.get("watch")), Long.parseLong(query.get("wait-ms")));
			respond(exchange, (changes.length > 0) ? 200 : 410, changes);
		}
		else {
			respond(exchange, 200, list(path[2], query.getOrDefault("after", "")));
		}
	}

	// What entries keep in kinds of their own: created under the name in the body, or
	// replaced, without conditions.
	private void write(HttpExchange exchange, String[] path, String body) throws IOException {
		String name = (path.length > 3) ? path[3] : body.replaceFirst("(?s).*?\"name\"\\s*:\\s*\"([^\"]*)\".*", "$1");
		Item existing = item(path[2], name);
		boolean creates = path.length <= 3;
		if (creates == (existing != null)) {
			respond(exchange, creates ? 409 : 404, creates ? existing.encode() : new byte[0]);
			return;
		}
		int spec = body.indexOf("\"spec\":");
		String value = (spec < 0) ? "{}" : body.substring(spec + 7, body.lastIndexOf('}'));
		put(path[2], name, value.getBytes(StandardCharsets.ISO_8859_1));
		respond(exchange, creates ? 201 : 200, item(path[2], name).encode());
	}

	private synchronized Item item(String kind, String name) {
		return this.kinds.getOrDefault(kind, new TreeMap<>()).get(name);
	}

	private synchronized byte[] list(String kind, String after) {
		ByteArrayOutputStream page = new ByteArrayOutputStream();
		add(page, "{\"store-revision\":" + this.revision + ",\"items\":[");
		int count = 0;
		boolean more = false;
		for (Item item : this.kinds.getOrDefault(kind, new TreeMap<>()).tailMap(after, false).values()) {
			more = count == MAX_PAGE_OBJECTS || page.size() >= MAX_PAGE_BYTES;
			if (more) {
				break;
			}
			add(page, (count++ > 0) ? "," : "");
			page.writeBytes(item.encode());
		}
		add(page, "],\"has-more\":" + more + "}");
		return page.toByteArray();
	}

	// Returns no bytes if the history does not go back to the revision.
	private synchronized byte[] changes(String kind, long after, long waitMillis) throws InterruptedException {
		this.watched.merge(kind, after, Math::max);
		notifyAll();
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
		List<Change> changes = since(kind, after);
		long left = waitMillis;
		while (changes.isEmpty() && left > 0) {
			wait(left);
			left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
			changes = since(kind, after);
		}
		if (after < this.oldestRevision) {
			return new byte[0];
		}
		ByteArrayOutputStream answer = new ByteArrayOutputStream();
		add(answer, "{\"events\":[");
		for (int index = 0; index < changes.size(); index++) {
			add(answer, ((index > 0) ? "," : "") + "{\"deleted\":" + changes.get(index).deleted + ",\"object\":");
			answer.writeBytes(changes.get(index).item.encode());
			add(answer, "}");
		}
		add(answer, "],\"store-revision\":" + this.revision + "}");
		return answer.toByteArray();
	}

	private List<Change> since(String kind, long after) {
		return this.history.stream().filter((change) -> change.revision > after && change.kind.equals(kind)).toList();
	}

	private static void respond(HttpExchange exchange, int status, byte[] body) throws IOException {
		exchange.sendResponseHeaders(status, (body.length > 0) ? body.length : -1);
		exchange.getResponseBody().write(body);
	}

	private static void add(ByteArrayOutputStream out, String text) {
		out.writeBytes(text.getBytes(StandardCharsets.ISO_8859_1));
	}

	@Override
	public void close() {
		this.server.stop(0);
		this.executor.shutdownNow();
	}

	private record Item(String name, long revision, byte[] spec) {

		byte[] encode() {
			ByteArrayOutputStream object = new ByteArrayOutputStream(this.spec.length + 100);
			add(object, "{\"metadata\":{\"name\":\"" + this.name + "\",\"revision\":" + this.revision
					+ ",\"created\":0,\"finalizers\":[],\"deleting\":false},\"spec\":");
			object.writeBytes(this.spec);
			add(object, ",\"status\":{}}");
			return object.toByteArray();
		}

	}

	private record Change(String kind, Item item, boolean deleted, long revision) {
	}

}
