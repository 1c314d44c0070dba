package lab;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * The platform's store as PROTOCOL.md has it: objects by kind and name, one revision counter, lists, watches,
 * conditional writes. It keeps its history for history-s and answers at once.
 */
final class Store {

	private record Stored(String name, long revision, long created, String spec) {

		String json() {
			return "{\"metadata\":{\"name\":\"" + name() + "\",\"revision\":" + revision() + ",\"created\":" + created()
					+ ",\"finalizers\":[],\"deleting\":false},\"spec\":" + spec() + ",\"status\":null}";
		}

	}

	private record Event(long revision, String kind, Stored object, boolean deleted, long nanos) {
	}

	private static final long HISTORY_NANOS = TimeUnit.SECONDS.toNanos(20);

	private long historyGoneTo;

	private final ServerSocket server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));

	private final Map<String, TreeMap<String, Stored>> kinds = new HashMap<>();

	private final List<Event> events = new ArrayList<>();

	/** The connections on which a watch of a kind waits. */
	private final Map<Socket, String> waiting = new HashMap<>();

	private final Map<String, Long> watchesBegun = new HashMap<>();

	private long revision = 100;

	Store() throws IOException {
		Lab.daemon("store", () -> {
			while (true) {
				Socket socket = this.server.accept();
				socket.setTcpNoDelay(true);
				Lab.daemon("store-connection", () -> serve(socket));
			}
		});
	}

	int port() {
		return this.server.getLocalPort();
	}

	/** Writes an object and returns the time of the ack, in nanoseconds. */
	synchronized long put(String kind, String name, String spec) {
		write(kind, name, spec);
		return System.nanoTime();
	}

	/** Removes an object and returns the time of the ack, in nanoseconds. */
	synchronized long remove(String kind, String name) {
		Stored old = this.kinds.get(kind).remove(name);
		this.events.add(new Event(++this.revision, kind, old, true, System.nanoTime()));
		notifyAll();
		return System.nanoTime();
	}

	/** Removes an object and cuts the watches of its kind that wait, which so do not hear of it. */
	synchronized long removeAndCutWatches(String kind, String name) throws IOException {
		Set<Socket> cut = new HashSet<>();
		for (Map.Entry<Socket, String> each : this.waiting.entrySet()) {
			if (each.getValue().equals(kind)) {
				cut.add(each.getKey());
			}
		}
		for (Socket socket : cut) {
			socket.close();
		}
		Lab.log("store: " + cut.size() + " waiting watches of '" + kind + "' cut off");
		return remove(kind, name);
	}

	/** Waits until the next watch of a kind begins to wait. */
	synchronized void awaitNextWatch(String kind) throws InterruptedException {
		long seen = this.watchesBegun.getOrDefault(kind, 0L);
		while (this.watchesBegun.getOrDefault(kind, 0L) == seen) {
			wait(100);
		}
	}

	private Stored write(String kind, String name, String spec) {
		TreeMap<String, Stored> objects = this.kinds.computeIfAbsent(kind, (key) -> new TreeMap<>());
		Stored old = objects.get(name);
		if (old != null && old.spec().equals(spec)) {
			return old;
		}
		long next = ++this.revision;
		Stored written = new Stored(name, next, (old != null) ? old.created() : next, spec);
		objects.put(name, written);
		this.events.add(new Event(next, kind, written, false, System.nanoTime()));
		notifyAll();
		return written;
	}

	private void serve(Socket socket) throws Exception {
		try (socket) {
			BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
			Http.Message request = Http.read(in);
			while (request != null) {
				String[] answer = answer(request, socket);
				byte[] body = answer[1].getBytes(StandardCharsets.ISO_8859_1);
				String head = "HTTP/1.1 " + answer[0] + " Answer\r\nContent-Type: application/json\r\nContent-Length: "
						+ body.length + "\r\n\r\n";
				byte[] bytes = (head + answer[1]).getBytes(StandardCharsets.ISO_8859_1);
				socket.getOutputStream().write(bytes);
				request = Http.read(in);
			}
		}
		catch (IOException ex) {
			// The caller has gone, or its watch was cut off.
		}
	}

	private synchronized String[] answer(Http.Message request, Socket socket) throws Exception {
		String[] target = request.target().split("\\?", 2);
		String[] path = target[0].split("/");
		Map<String, String> query = new HashMap<>();
		for (String pair : (target.length > 1) ? target[1].split("&") : new String[0]) {
			query.put(pair.split("=", 2)[0], pair.split("=", 2)[1]);
		}
		String kind = path[2];
		TreeMap<String, Stored> objects = this.kinds.computeIfAbsent(kind, (key) -> new TreeMap<>());
		if (request.method().equals("GET") && path.length > 3) {
			Stored found = objects.get(path[3]);
			return (found != null) ? new String[] { "200", found.json() } : new String[] { "404", "{}" };
		}
		if (request.method().equals("GET") && query.containsKey("watch")) {
			return watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("wait-ms", "0")),
					socket);
		}
		if (request.method().equals("GET")) {
			StringBuilder items = new StringBuilder();
			for (Stored each : objects.tailMap(query.getOrDefault("after", ""), false).values()) {
				items.append((items.length() > 0) ? "," : "").append(each.json());
			}
			return new String[] { "200",
					"{\"items\":[" + items + "],\"has-more\":false,\"store-revision\":" + this.revision + "}" };
		}
		Map<String, String> body = Json.members(new String(request.body(), StandardCharsets.ISO_8859_1));
		Map<String, String> metadata = Json.members(body.getOrDefault("metadata", "{}"));
		String name = (path.length > 3) ? path[3] : Json.text(metadata.get("name"));
		Stored old = objects.get(name);
		if (request.method().equals("POST") && old != null) {
			return new String[] { "409", old.json() };
		}
		if (!request.method().equals("POST") && old == null) {
			return new String[] { "404", "{}" };
		}
		if (metadata.containsKey("revision") && old != null
				&& Long.parseLong(metadata.get("revision")) != old.revision()) {
			return new String[] { "409", old.json() };
		}
		if (request.method().equals("DELETE")) {
			remove(kind, name);
			return new String[] { "200", old.json() };
		}
		return new String[] { request.method().equals("POST") ? "201" : "200",
				write(kind, name, body.getOrDefault("spec", "null")).json() };
	}

	private String[] watch(String kind, long from, long waitMillis, Socket socket) throws Exception {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
		this.waiting.put(socket, kind);
		this.watchesBegun.merge(kind, 1L, Long::sum);
		try {
			while (true) {
				if (socket.isClosed()) {
					throw new IOException("cut off");
				}
				while (!this.events.isEmpty() && System.nanoTime() - this.events.get(0).nanos() > HISTORY_NANOS) {
					this.historyGoneTo = this.events.remove(0).revision();
				}
				if (from < this.historyGoneTo) {
					return new String[] { "410", "{}" };
				}
				StringBuilder found = new StringBuilder();
				for (Event each : this.events) {
					if (each.revision() > from && each.kind().equals(kind)) {
						found.append((found.length() > 0) ? "," : "")
							.append("{\"object\":" + each.object().json() + ",\"deleted\":" + each.deleted() + "}");
					}
				}
				long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
				if (found.length() > 0 || left <= 0) {
					return new String[] { "200",
							"{\"events\":[" + found + "],\"store-revision\":" + this.revision + "}" };
				}
				wait(left);
			}
		}
		finally {
			this.waiting.remove(socket);
		}
	}

}
