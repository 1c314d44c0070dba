import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A requester sends a request whose body is another request: without the disruption in a
 * chunk of the right size, with it in a chunk whose stated size does not fit into 32
 * bits. Does a runner run the inner request, which nobody sent?
 */
public final class HugeChunk extends Lab {

	private static final int OUTER = 20;

	private HugeChunk() {
	}

	public static void main(String[] args) {
		run(args, HugeChunk::play);
	}

	private static int play(boolean trouble, Path folder) throws Exception {
		Store store = new Store(HOST);
		String routes = route("lookup", "/lookup/", "idempotent", 1_500, "booking-api", 2, "") + ","
				+ route("reserve", "/reserve/", "non_idempotent", 1_500, "booking-api", 1, "");
		store.put("config", "main", manifest(1, routes, service("booking-api"), "\"key1\""));
		List<String> unasked = java.util.Collections.synchronizedList(new ArrayList<>());
		Work work = (runner, socket, in, out, message) -> {
			String id = message.header("Bulrushrouter-Attempt-Id");
			ran(runner, message);
			if (!ASKED.containsKey(String.valueOf(id))) {
				unasked.add(id);
				log("runner " + runner.id + " runs " + message.first + " with id " + id + ", which nobody sent");
			}
			sleep(40);
			answer(out, message, "{\"slot\":\"booked\"}");
		};
		for (int index = 0; index < 3; index++) {
			new Runner(store, HOST, "i-" + index, "booking-api", "z-a", 6, work);
		}
		Entry entry = Entry.startReady(store, "edge-1", folder);
		log("the entry is ready");
		for (int index = 0; index < 6; index++) {
			new Requester(entry, "requester-" + index, "GET", "/lookup/1", 3_000, 150);
		}
		sleep(4_000);
		for (int number = 0; number < OUTER; number++) {
			send(entry, trouble);
			sleep(300);
		}
		sleep(2_000);
		for (Asked asked : allAsked()) {
			log(asked.toString());
		}
		log(ASKED.size() + " requests, " + OUTER + " of them with another request as their body; " + unasked.size()
				+ " requests that nobody sent have run");
		return unasked.isEmpty() ? KEPT : BROKEN;
	}

	private static void send(Entry entry, boolean trouble) {
		Asked asked = new Asked("outer", false);
		String body = "hello\r\n0\r\n\r\n"
				+ requestHead("POST", "/reserve/2", newId(), 3_000, "Content-Length: 0\r\n");
		String size = trouble ? "100000005" : Integer.toHexString(body.length());
		try (Socket socket = entry.connect()) {
			socket.setSoTimeout(2_000);
			socket.getOutputStream()
				.write((requestHead("POST", "/reserve/1", asked.id, 3_000, "Transfer-Encoding: chunked\r\n") + size
						+ "\r\n" + body + (trouble ? "" : "\r\n0\r\n\r\n"))
					.getBytes(StandardCharsets.ISO_8859_1));
			Message answer = Message.read(new BufferedInputStream(socket.getInputStream()), true);
			asked.ended = now();
			asked.result = (answer == null) ? "closed" : answer.first;
			sleep(100);
		}
		catch (SocketTimeoutException ex) {
			asked.ended = now();
			asked.result = "no answer within 2 s";
		}
		catch (IOException ex) {
			asked.ended = now();
			asked.result = ex.getMessage();
		}
	}

}
