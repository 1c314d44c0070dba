import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer keeps its own entries among the runners': each within the length of a
 * value, with fields missing. The entries of the system are to go on serving.
 */
final class ForeignEntries {

	private static final int ENTRIES = 3;

	private static final int RUNNERS = 3;

	private static final int FOREIGN = 8;

	private static final int FOREIGN_BYTES = 1_000_000;

	private static final long SOUND_MILLIS = 5_000;

	private static final long TROUBLE_MILLIS = 25_000;

	private ForeignEntries() {
	}

	public static void main(String[] args) throws Exception {
		Path root = Path.of(args[0]);
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Path folder = Files.createTempDirectory("foreign-entries");
		int exit = 2;
		try (Record record = new Record(Path.of(args[1])); Store store = new Store()) {
			store.put("config", "main",
					new Manifest().service("wuno96b")
						.route("r-fi6y7z5", "/pufi791/", "idempotent", 1_500, "wuno96b", 2)
						.json(7));
			for (int index = 0; index < RUNNERS; index++) {
				new AppServer(store, "wuno96b", "i-7f3a91c" + index, 40, record);
			}
			try (Deployment deployment = new Deployment(root, folder, store, ENTRIES, record)) {
				if (deployment.start()) {
					exit = play(deployment, store, record, trouble);
				}
				else {
					record.result("the entries did not become ready");
				}
			}
		}
		System.exit(exit);
	}

	private static int play(Deployment deployment, Store store, Record record, boolean trouble) throws Exception {
		AtomicInteger sentBefore = new AtomicInteger();
		AtomicInteger servedBefore = new AtomicInteger();
		AtomicInteger sentAfter = new AtomicInteger();
		AtomicInteger servedAfter = new AtomicInteger();
		ExecutorService requesters = Executors.newFixedThreadPool(30);
		long start = record.millis();
		boolean written = false;
		for (int index = 0; record.millis() - start < SOUND_MILLIS + TROUBLE_MILLIS; index++) {
			boolean after = record.millis() - start >= SOUND_MILLIS;
			if (after && !written) {
				written = true;
				for (int entry = 0; trouble && entry < FOREIGN; entry++) {
					String spec = foreignSpec();
					store.put("servers", "x-batch-" + entry, spec);
					record.line("another writer's entry x-batch-" + entry + ", " + spec.length()
							+ " bytes, is in the store");
				}
			}
			int number = index;
			requesters.execute(() -> {
				(after ? sentAfter : sentBefore).incrementAndGet();
				Requester.Answer answer = Requester.send(deployment.callers(number), "GET", "/pufi791/2f", "", 1_500);
				record.line("request " + answer.attempt() + " to entry " + number % ENTRIES + ": "
						+ ((answer.status() == 0) ? "no answer" : "status " + answer.status()));
				if (answer.status() == 200) {
					(after ? servedAfter : servedBefore).incrementAndGet();
				}
			});
			Thread.sleep(50);
		}
		requesters.shutdown();
		requesters.awaitTermination(5, java.util.concurrent.TimeUnit.SECONDS);
		int[] exits = deployment.exits();
		long ended = Arrays.stream(exits).filter((count) -> count >= 3).count();
		record.result("served before: " + servedBefore + " of " + sentBefore + ", after: " + servedAfter + " of "
				+ sentAfter + "; exits of the entries by themselves: " + Arrays.toString(exits));
		boolean broken = ended >= 2;
		record.result(broken ? "BROKEN: Fault: processes of " + ended + " machines ended by themselves three times"
				: "held");
		return broken ? 1 : 0;
	}

	// Fields are missing, and what is there is of another kind: samples of a batch job.
	private static String foreignSpec() {
		StringBuilder spec = new StringBuilder("{\"service\":\"batch-jobs\",\"owner\":\"night\",\"samples\":[");
		for (int second = 0; spec.length() < FOREIGN_BYTES - 100; second++) {
			spec.append("{\"t\":").append(1_715_000 + second).append(",\"v\":").append(second % 97 + 200).append("},");
		}
		return spec.append("{}]}").toString();
	}

}
