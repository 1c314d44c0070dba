package lab;

import java.util.concurrent.TimeUnit;

/**
 * The gateway's machine freezes while manifests come in quick succession, and wakes. Once it is in touch again and the
 * newest manifest is long acknowledged, that one must be in force.
 */
final class StormWhileFrozen {

	private static final int IDLE_ROUTES = Integer.getInteger("routes", 1_000);

	private static final long FREEZE_MILLIS = 4_000;

	private static final long GAP_MILLIS = 180;

	private static final long CONTACT_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

	private static final long APPLY_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

	private StormWhileFrozen() {
	}

	public static void main(String[] args) {
		Lab.run(StormWhileFrozen::holds);
	}

	private static boolean holds() throws Exception {
		Store store = new Store();
		Runner before = new Runner("i-old", "booking", (request) -> 10);
		Runner after = new Runner("i-new", "desk", (request) -> 10);
		store.put("servers", before.id(), before.entry("ready"));
		store.put("servers", after.id(), after.entry("ready"));
		String services = Lab.service("booking") + "," + Lab.service("desk");
		StringBuilder idle = new StringBuilder();
		for (int route = 0; route < IDLE_ROUTES; route++) {
			idle.append(',').append(Lab.route("idle" + route, "idempotent", "booking"));
		}
		Lab.configure(store, 1, Lab.route("lookup", "idempotent", "booking") + idle, services, "");
		Lab.log("the manifest has " + idle.length() + " bytes of routes");
		Lab.Gateway gateway = Lab.startGateway("edge-1", store.port());
		Thread.sleep(3_000);
		if (Lab.TROUBLE) {
			gateway.signal("STOP");
		}
		long wake = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FREEZE_MILLIS);
		int version = 1;
		long ack = 0;
		while (System.nanoTime() < wake - TimeUnit.MILLISECONDS.toNanos(GAP_MILLIS)) {
			version++;
			boolean last = System.nanoTime() > wake - TimeUnit.MILLISECONDS.toNanos(2 * GAP_MILLIS);
			ack = Lab.configure(store, version, Lab.route("lookup", "idempotent", last ? "desk" : "booking") + idle,
					services, "");
			Thread.sleep(GAP_MILLIS);
		}
		ack = Lab.configure(store, version + 1, Lab.route("lookup", "idempotent", "desk") + idle, services, "");
		if (Lab.TROUBLE) {
			gateway.signal("CONT");
		}
		long awake = System.nanoTime();
		Traffic traffic = new Traffic(gateway.port(), "/lookup/slots", 4, 50);
		Thread.sleep(12_000);
		traffic.end();
		int late = 0;
		long last = 0;
		for (Runner.Run run : before.runs()) {
			long sent = traffic.sentNanos(run.id());
			if (sent - ack > APPLY_NANOS && sent - awake > CONTACT_NANOS) {
				late++;
				last = sent;
			}
		}
		Lab.log("in touch, the old service ran " + late
				+ " requests that were sent later than config-apply-ms (2000) after the ack" + ((late > 0)
						? ", the last sent " + TimeUnit.NANOSECONDS.toMillis(last - ack) + " ms after it" : ""));
		Lab.log("the new service ran " + after.runs().size());
		return late == 0;
	}

}
