import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some runners spoil some of their answers: a chunk holds a few bytes more than it says,
 * or one byte less. Does a requester get such an answer as a success?
 */
public final class SpoiledChunk extends Lab {

	/** One of three runners spoils answers; the site file names a share of 0.35. */
	private static final String SPOILING_RUNNER = "i-0";

	/** The share of its answers, as in the site file. */
	private static final double SPOILED_ANSWERS = 0.02;

	/** The times at which it begins, in seconds after the start of traffic. */
	private static final double[] BEGINS = { 4, 12, 20 };

	/** How long it lasts, as in the site file. */
	private static final double SPOILING_SECONDS = 5.5;

	private static final int BODY_BYTES = 800;

	private static final Map<String, byte[]> BODIES = new ConcurrentHashMap<>();

	private static final Map<String, String> SPOILED = new ConcurrentHashMap<>();

	private static final AtomicInteger WRONG = new AtomicInteger();

	private static volatile double trafficStart = Double.MAX_VALUE;

	private SpoiledChunk() {
	}

	public static void main(String[] args) {
		run(args, SpoiledChunk::play);
	}

	private static int play(boolean trouble, Path folder) throws Exception {
		Store store = new Store(HOST);
		String routes = route("lookup", "/lookup/", "idempotent", 1_500, "booking-api", 2, "") + ","
				+ route("reserve", "/reserve/", "non_idempotent", 1_500, "booking-api", 1, "");
		store.put("config", "main", manifest(1, routes, service("booking-api"), "\"key1\""));
		Random random = new Random(7);
		AtomicInteger spoiled = new AtomicInteger();
		Work work = (runner, socket, in, out, message) -> {
			ran(runner, message);
			sleep(40);
			boolean spoils;
			synchronized (random) {
				spoils = trouble && runner.id.equals(SPOILING_RUNNER) && spoiling()
						&& random.nextDouble() < SPOILED_ANSWERS;
			}
			respond(out, message, spoils ? 1 + spoiled.getAndIncrement() % 2 : 0);
		};
		for (int index = 0; index < 3; index++) {
			new Runner(store, HOST, "i-" + index, "booking-api", "z-a", 6, work);
		}
		Entry entry = Entry.startReady(store, "edge-1", folder);
		log("the entry is ready, and traffic starts");
		trafficStart = now();
		for (int index = 0; index < 10; index++) {
			boolean read = index % 2 == 0;
			String head = read ? "GET /lookup/1" : "POST /reserve/1";
			start(() -> request(entry, head));
		}
		sleep(28_000);
		for (Asked asked : allAsked()) {
			String spoiling = SPOILED.get(asked.id);
			log(asked + ((spoiling != null) ? " spoiled: " + spoiling : ""));
		}
		log(ASKED.size() + " requests, " + spoiled + " spoiled answers; " + WRONG
				+ " successes were not the runner's whole body");
		return (WRONG.get() > 0) ? BROKEN : KEPT;
	}

	private static boolean spoiling() {
		double time = now() - trafficStart;
		return Arrays.stream(BEGINS).anyMatch((begin) -> time >= begin && time < begin + SPOILING_SECONDS);
	}

	private static byte[] body(String id) {
		StringBuilder text = new StringBuilder("{\"id\":\"" + id + "\",\"slots\":\"");
		while (text.length() < BODY_BYTES) {
			text.append((char) ('a' + text.length() % 26));
		}
		return text.append("\"}").toString().getBytes(StandardCharsets.US_ASCII);
	}

	// Sends a body in two chunks. How: 0 sound, 1 the first chunk holds three bytes more
	// than it says, 2 one byte of the first chunk is missing.
	private static void respond(OutputStream out, Message request, int how) throws IOException {
		String id = request.header("Bulrushrouter-Attempt-Id");
		byte[] body = body(id);
		BODIES.put(id, body);
		if (how != 0) {
			SPOILED.put(id, (how == 1) ? "three bytes more than the chunk's size" : "one byte less than the chunk's size");
		}
		int half = body.length / 2;
		int stated = (how == 1) ? half - 3 : (how == 2) ? half + 1 : half;
		ByteArrayOutputStream all = new ByteArrayOutputStream();
		all.write(answerHead(request, 200, "Transfer-Encoding: chunked\r\n").getBytes(StandardCharsets.ISO_8859_1));
		all.write((Integer.toHexString(stated) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
		all.write(body, 0, half);
		all.write(("\r\n" + Integer.toHexString(body.length - half) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
		all.write(body, half, body.length - half);
		all.write("\r\n0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
		out.write(all.toByteArray());
		out.flush();
	}

	private static void request(Entry entry, String head) {
		String[] words = head.split(" ");
		boolean post = words[0].equals("POST");
		while (true) {
			Asked asked = new Asked("requester", false);
			try (Socket socket = entry.connect()) {
				socket.setSoTimeout(4_000);
				socket.getOutputStream()
					.write((requestHead(words[0], words[1], asked.id, 3_000, post ? "Content-Length: 2\r\n" : "")
							+ (post ? "{}" : "")).getBytes(StandardCharsets.ISO_8859_1));
				Message answer = Message.read(new BufferedInputStream(socket.getInputStream()), true);
				asked.ended = now();
				asked.result = (answer == null || !answer.complete) ? "closed without a complete answer" : answer.first;
				boolean success = answer != null && answer.complete && answer.first.contains(" 200");
				if (success && !Arrays.equals(answer.body, BODIES.get(asked.id))) {
					WRONG.incrementAndGet();
					asked.result += ", complete, " + answer.body.length + " bytes that are not the runner's "
							+ BODIES.get(asked.id).length;
				}
			}
			catch (IOException ex) {
				asked.ended = now();
				asked.result = ex.getMessage();
			}
			sleep(50);
		}
	}

}
