import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of three runners fails part of the reservations after it has run them, with a 503
 * that doesn't say that the request wasn't run. A 503 to the requester promises that.
 */
final class RunThenUnavailable {

	private static final int ENTRIES = 5;

	private static final int RUNNERS = 3;

	private static final double FAILED_SHARE = 0.4;

	private static final int RESERVATIONS = 600;

	private static final int LIMIT_MILLIS = 3_000;

	private RunThenUnavailable() {
	}

	public static void main(String[] args) throws Exception {
		Path root = Path.of(args[0]);
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Path folder = Files.createTempDirectory("run-then-unavailable");
		int exit = 2;
		try (Record record = new Record(Path.of(args[1])); Store store = new Store()) {
			store.put("config", "main",
					new Manifest().service("wuno96b")
						.route("r-fi6y7z5", "/puxa403/", "non_idempotent", 1_500, "wuno96b", 1)
						.json(7));
			List<AppServer> runners = new ArrayList<>();
			for (int index = 0; index < RUNNERS; index++) {
				runners.add(new AppServer(store, "wuno96b", "i-7f3a91c" + index, 40, record));
			}
			try (Deployment deployment = new Deployment(root, folder, store, ENTRIES, record)) {
				if (deployment.start()) {
					if (trouble) {
						runners.get(0).trouble(AppServer.Trouble.UNAVAILABLE_AFTER_RUN, FAILED_SHARE);
					}
					exit = play(deployment, record);
				}
				else {
					record.result("the entries did not become ready");
				}
			}
		}
		System.exit(exit);
	}

	private static int play(Deployment deployment, Record record) throws Exception {
		AtomicInteger broken = new AtomicInteger();
		AtomicInteger answered = new AtomicInteger();
		ExecutorService requesters = Executors.newFixedThreadPool(30);
		for (int index = 0; index < RESERVATIONS; index++) {
			int number = index;
			requesters.execute(() -> {
				boolean promised = reserve(deployment, number, number, record, broken, answered);
				// The page: retried after a promise, on a new channel.
				if (promised) {
					reserve(deployment, number, number + 1, record, broken, answered);
				}
			});
			Thread.sleep(40);
		}
		requesters.shutdown();
		requesters.awaitTermination(10, TimeUnit.SECONDS);
		long twice = AppServer.RUNS_BY_BODY.values().stream().filter((runs) -> runs.get() > 1).count();
		record.result("attempts answered: " + answered + ", answered with a promise although they had run: " + broken
				+ "; reservations that ran more than once: " + twice);
		record.result((broken.get() > 0) ? "BROKEN: REFUSED" : "held");
		return (broken.get() > 0) ? 1 : 0;
	}

	private static boolean reserve(Deployment deployment, int number, int entry, Record record, AtomicInteger broken,
			AtomicInteger answered) {
		Requester.Answer answer = Requester.send(deployment.callers(entry), "POST", "/puxa403/2f",
				"reservation " + number, LIMIT_MILLIS);
		boolean promised = List.of(429, 503, 408, 421).contains(answer.status());
		boolean ran = AppServer.RUNS.containsKey(answer.attempt());
		answered.addAndGet((answer.status() > 0) ? 1 : 0);
		broken.addAndGet((promised && ran) ? 1 : 0);
		record.line("reservation " + number + ", attempt " + answer.attempt() + ": status " + answer.status()
				+ (answer.stamped() ? " with a stamp" : "") + (ran ? ", has run" : ""));
		return promised;
	}

}
