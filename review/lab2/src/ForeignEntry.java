import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Another writer's entry that cannot be read lies among those of the runners. Then a
 * runner reports that it leaves. Do requests still reach it after drain-ms?
 */
public final class ForeignEntry extends Lab {

	/** The bound drain-ms of the site. */
	private static final double DRAIN_SECONDS = 2;

	/** The elements of the foreign entry, of 18 bytes each. */
	private static final int ROWS = 1_200;

	private ForeignEntry() {
	}

	public static void main(String[] args) {
		run(args, ForeignEntry::play);
	}

	// A document of some 20 KB whose end is missing.
	private static String unreadable() {
		StringBuilder text = new StringBuilder("{\"service\":\"inventory\",\"samples\":[");
		for (int row = 0; row < ROWS; row++) {
			text.append("{\"t\":").append(1_000 + row).append(",\"v\":").append(row % 97).append("},");
		}
		return text.append("{\"t\":10").toString();
	}

	private static int play(boolean trouble, Path folder) throws Exception {
		Store store = new Store(HOST);
		String routes = route("lookup", "/lookup/", "idempotent", 1_500, "booking-api", 2, "") + ","
				+ route("reserve", "/reserve/", "non_idempotent", 1_500, "booking-api", 1, "");
		store.put("config", "main", manifest(1, routes, service("booking-api"), "\"key1\""));
		Work work = (runner, socket, in, out, message) -> {
			ran(runner, message);
			sleep(60);
			answer(out, message, "{\"slot\":\"free\"}");
		};
		List<Runner> runners = new ArrayList<>();
		for (int index = 0; index < 3; index++) {
			runners.add(new Runner(store, HOST, "i-" + index, "booking-api", "z-a", 6, work));
		}
		Entry first = Entry.startReady(store, "edge-1", folder);
		Entry second = Entry.startReady(store, "edge-2", folder);
		log("both entries are ready");
		for (int index = 0; index < 8; index++) {
			Entry entry = (index % 2 == 0) ? first : second;
			boolean read = index < 6;
			new Requester(entry, "requester-" + index, read ? "GET" : "POST", read ? "/lookup/1" : "/reserve/1", 3_000,
					120);
		}
		sleep(5_000);
		if (trouble) {
			String text = unreadable();
			store.put("servers", "inventory-7", text);
			log("another writer's entry servers/inventory-7 of " + text.length() + " bytes, its end is missing");
		}
		sleep(4_000);
		Runner leaving = runners.get(2);
		leaving.state = "draining";
		leaving.beat();
		double acknowledged = now();
		log("i-2 reports draining, and the store has accepted it");
		sleep(9_000);
		leaving.end();
		double ended = now();
		log("i-2 has left after " + String.format(Locale.ROOT, "%.1f", ended - acknowledged) + " s");
		sleep(1_000);
		Entry third = new Entry(store, HOST, "edge-3", "z-a", 430, folder);
		sleep(8_000);
		boolean thirdReady = third.isReady();
		log("an entry that was added 8 s ago is " + (thirdReady ? "ready" : "not ready"));
		logNotices(first);
		logNotices(third);
		int late = 0;
		int failed = 0;
		for (Asked asked : allAsked()) {
			log(asked.toString());
			for (String run : asked.runs) {
				int at = run.indexOf('@');
				boolean afterBound = Double.parseDouble(run.substring(at + 1)) > acknowledged + DRAIN_SECONDS;
				late += (run.startsWith("i-2@") && afterBound) ? 1 : 0;
			}
			failed += (asked.sent > ended && asked.ended > 0 && !asked.result.contains(" 200")) ? 1 : 0;
		}
		log(ASKED.size() + " requests; " + late + " reached i-2 more than " + DRAIN_SECONDS
				+ " s after the store had accepted that it leaves; " + failed
				+ " requests that were sent after its end failed; the added entry is "
				+ (thirdReady ? "ready" : "not ready"));
		return (late > 0) ? BROKEN : KEPT;
	}

	private static void logNotices(Entry entry) throws Exception {
		entry.program.lines()
			.stream()
			.filter((line) -> line.contains("store-lost") || line.contains("object-ignored"))
			.limit(2)
			.forEach((line) -> log("log: " + line.substring(0, Math.min(200, line.length()))));
	}

}
