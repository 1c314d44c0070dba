import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A manifest moves an anonymous route to another service and changes its time-out, to a
 * whole number that is written with a point, as numbers of many programs are. Another
 * route, with keys, stays as it is.
 */
final class WrittenWithAPoint {

	private static final int ENTRIES = 2;

	private static final long CHANGE_MILLIS = 4_000;

	private static final long APPLY_MILLIS = 2_000;

	/** When the requests that are counted as served or not begin. */
	private static final long LATER_MILLIS = 6_000;

	private static final long LENGTH_MILLIS = 25_000;

	private WrittenWithAPoint() {
	}

	public static void main(String[] args) throws Exception {
		Path root = Path.of(args[0]);
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Path folder = Files.createTempDirectory("written-with-a-point");
		int exit = 2;
		try (Record record = new Record(Path.of(args[1])); Store store = new Store()) {
			store.put("config", "main", manifest(7, 1_500, "wuno96b"));
			for (int index = 0; index < 2; index++) {
				new AppServer(store, "wuno96b", "i-7f3a91c" + index, 40, record);
				new AppServer(store, "huvo11a", "i-02d9e6b" + index, 40, record);
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

	private static String manifest(long version, Object timeout, String service) {
		return new Manifest().service("wuno96b")
			.service("huvo11a")
			.route("r-fi6y7z5", "/pufi791/", "idempotent", timeout, service, 2, true)
			.route("r-2yhvz3p", "/lohu930/", "idempotent", 1_500, "wuno96b", 2)
			.json(version);
	}

	private static int play(Deployment deployment, Store store, Record record, boolean trouble) throws Exception {
		AtomicInteger stale = new AtomicInteger();
		AtomicInteger later = new AtomicInteger();
		AtomicInteger served = new AtomicInteger();
		ExecutorService requesters = Executors.newFixedThreadPool(30);
		long start = record.millis();
		long acked = Long.MAX_VALUE;
		for (int index = 0; record.millis() - start < LENGTH_MILLIS; index++) {
			if (acked == Long.MAX_VALUE && record.millis() - start >= CHANGE_MILLIS) {
				store.put("config", "main", manifest(8, trouble ? (Object) 1_250.0 : (Object) 1_250, "huvo11a"));
				acked = record.millis();
				record.line("the store has acknowledged version 8: the route goes to huvo11a, its timeout-ms is "
						+ (trouble ? "1250.0" : "1250"));
			}
			int number = index;
			long ack = acked;
			boolean anonymous = index % 4 < 2;
			requesters.execute(() -> {
				long sent = record.millis();
				Requester.Answer answer = Requester.send(deployment.callers(number), "GET",
						anonymous ? "/pufi791/2f" : "/lohu930/2f", anonymous ? "" : Manifest.KEY, "", 1_200);
				String service = AppServer.SERVICES.getOrDefault(answer.attempt(), "none");
				boolean old = anonymous && ack != Long.MAX_VALUE && sent - ack > APPLY_MILLIS
						&& service.equals("wuno96b");
				stale.addAndGet(old ? 1 : 0);
				if (!anonymous && ack != Long.MAX_VALUE && sent - ack > LATER_MILLIS) {
					later.incrementAndGet();
					served.addAndGet((answer.status() == 200) ? 1 : 0);
				}
				record.line((anonymous ? "without a key" : "with a key") + ", attempt " + answer.attempt() + ", sent at " + sent + " ms: status " + answer.status()
						+ ", run by " + service + (old ? ", which only version 7 allows" : ""));
			});
			Thread.sleep(30);
		}
		requesters.shutdown();
		requesters.awaitTermination(10, TimeUnit.SECONDS);
		record.result("sent without a key more than " + APPLY_MILLIS + " ms after the ack and run by the old service: "
				+ stale + "; sent with a key more than " + LATER_MILLIS + " ms after it and served: " + served + " of "
				+ later);
		record.result((stale.get() > 0) ? "BROKEN: CONFIG" : "held");
		return (stale.get() > 0) ? 1 : 0;
	}

}
