import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * Many requesters come at once to one entry, each with a body of the largest size that
 * the manifest allows. Does the entry go on answering those that it serves already?
 */
public final class LargeBodies extends Lab {

	/** The limit max-body-bytes of the manifest. */
	private static final int MAX_BODY_BYTES = 4_194_304;

	private static final int SMALL_BODY_BYTES = 600;

	private static final byte[] ZEROS = new byte[MAX_BODY_BYTES];

	/** Requesters that are served all the while. */
	private static final int USUAL = 12;

	/** Requesters that come at once. */
	private static final int BURST = 100;

	/** Of these, requesters that repeat at once and often: a share of 0.3. */
	private static final int IMPATIENT = 30;

	/** How often they repeat. */
	private static final int REPEATS = 3;

	/** How long they go on to send requests. */
	private static final double BURST_SECONDS = 3;

	/** No burst begins later, since a case may run for 120 s. */
	private static final double LAST_BURST_SECONDS = 86;

	/** How often that happens at most. */
	private static final int BURSTS = 14;

	/** Closed channels that the rule allows. */
	private static final int ALLOWED = 3;

	private LargeBodies() {
	}

	public static void main(String[] args) {
		run(args, LargeBodies::play);
	}

	private static int play(boolean trouble, Path folder) throws Exception {
		Store store = new Store(HOST);
		String routes = route("lookup", "/lookup/", "idempotent", 1_500, "booking-api", 2, "") + ","
				+ route("reserve", "/reserve/", "non_idempotent", 8_000, "booking-api", 1, "");
		store.put("config", "main", manifest(1, routes, service("booking-api"), "\"key1\""));
		Work work = (runner, socket, in, out, message) -> {
			ran(runner, message);
			sleep(ThreadLocalRandom.current().nextLong(150, 450));
			answer(out, message, "{\"slot\":\"free\"}");
		};
		for (int index = 0; index < 3; index++) {
			new Runner(store, HOST, "i-" + index, "booking-api", "z-a", 6, work);
		}
		Entry entry = Entry.startReady(store, "edge-1", folder);
		log("the entry is ready");
		sleep(3_200);
		for (int index = 0; index < USUAL; index++) {
			new Requester(entry, "requester-" + index, "GET", "/lookup/1", 3_000, 30);
		}
		sleep(1_200);
		int length = trouble ? MAX_BODY_BYTES : SMALL_BODY_BYTES;
		log("up to " + BURSTS + " times " + BURST + " further requesters come at once, each with a body of " + length + " bytes");
		Map<String, Integer> results = new ConcurrentHashMap<>();
		int bursts = 0;
		while (bursts < BURSTS && now() < LAST_BURST_SECONDS && entry.program.process.isAlive()) {
			bursts++;
			burst(entry, length, results);
			sleep(2_000);
		}
		log(bursts + " bursts; answers to these: " + new TreeMap<>(results));
		boolean alive = entry.program.process.isAlive();
		if (!alive) {
			log("the entry's process has ended by itself with exit code " + entry.program.process.exitValue());
		}
		entry.program.lines()
			.stream()
			.filter((line) -> line.contains("OutOfMemory"))
			.forEach((line) -> log("log: " + line));
		int lost = 0;
		for (Asked asked : allAsked()) {
			log(asked.toString());
			lost += (asked.kept && asked.closedWithoutAnswer && !asked.runs.isEmpty()) ? 1 : 0;
		}
		log(ASKED.size() + " requests of the " + USUAL + " usual requesters; " + lost
				+ " were passed on from kept channels to a sound runner, and their channel was closed without an "
				+ "answer (the rule allows " + ALLOWED + ")");
		return (lost > ALLOWED) ? BROKEN : KEPT;
	}

	private static void burst(Entry entry, int length, Map<String, Integer> results) throws InterruptedException {
		CountDownLatch done = new CountDownLatch(BURST);
		for (int index = 0; index < BURST; index++) {
			boolean impatient = index < IMPATIENT;
			start(() -> {
				double end = now() + BURST_SECONDS;
				while (now() < end && entry.program.process.isAlive()) {
					results.merge(impatient ? reserveOften(entry, length) : reserve(entry, length), 1, Integer::sum);
					// Who has been answered thinks for a second.
					sleep(1_000);
				}
				done.countDown();
			});
		}
		done.await(15, TimeUnit.SECONDS);
	}

	// Sends one request, and once more after a refusal, when the entry says so.
	private static String reserve(Entry entry, int length) {
		String first = attempt(entry, length);
		if (!first.startsWith("503 ")) {
			return first;
		}
		sleep((long) (1_000 * Double.parseDouble(first.substring(4))));
		return "503, then " + attempt(entry, length).split(" ")[0];
	}

	// Sends one request, and after a refusal at once again.
	private static String reserveOften(Entry entry, int length) {
		String result = attempt(entry, length);
		for (int repeat = 0; repeat < REPEATS && result.startsWith("503 "); repeat++) {
			result = attempt(entry, length);
		}
		return "impatient: " + result.split(" ")[0];
	}

	private static String attempt(Entry entry, int length) {
		try (Socket socket = entry.connect()) {
			socket.setSoTimeout(10_000);
			OutputStream out = new BufferedOutputStream(socket.getOutputStream(), 64 * 1024);
			out.write(requestHead("POST", "/reserve/1", newId(), 8_000, "Content-Length: " + length + "\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			out.write(ZEROS, 0, length);
			out.flush();
			InputStream in = new BufferedInputStream(socket.getInputStream());
			Message answer = Message.read(in, true);
			if (answer != null && "close".equalsIgnoreCase(answer.header("Connection"))) {
				// The entry closes the channel, as it has said.
				in.read();
			}
			if (answer == null || !answer.complete) {
				return "closed";
			}
			String status = answer.first.split(" ")[1];
			String retryAfter = answer.header("Retry-After");
			return status.equals("503") ? "503 " + ((retryAfter != null) ? retryAfter : "0") : status;
		}
		catch (IOException ex) {
			return "closed";
		}
	}

}
