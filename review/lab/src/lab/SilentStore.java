package lab;

import java.util.concurrent.TimeUnit;

/**
 * All open channels to the store go silent while new ones work; the operator moves a route to another service once the
 * gateway is in touch again.
 */
final class SilentStore {

	private static final long CONTACT_MILLIS = 3_000;

	private static final long APPLY_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

	private SilentStore() {
	}

	public static void main(String[] args) {
		Lab.run(SilentStore::holds);
	}

	private static boolean holds() throws Exception {
		Store store = new Store();
		SilentProxy proxy = new SilentProxy(store.port());
		Runner before = new Runner("i-old", "booking", (request) -> 10);
		Runner after = new Runner("i-new", "desk", (request) -> 10);
		store.put("servers", before.id(), before.entry("ready"));
		store.put("servers", after.id(), after.entry("ready"));
		String services = Lab.service("booking") + "," + Lab.service("desk");
		Lab.configure(store, 1, Lab.route("lookup", "idempotent", "booking"), services, "");
		Lab.Gateway gateway = Lab.startGateway("edge-1", proxy.port());
		Traffic traffic = new Traffic(gateway.port(), "/lookup/slots", 4, 20);
		Thread.sleep(10_700);
		store.awaitNextWatch("config");
		long silentNanos = System.nanoTime();
		if (Lab.TROUBLE) {
			Lab.log("store: " + proxy.silence() + " channels go silent");
		}
		Thread.sleep(CONTACT_MILLIS + 50);
		long ack = Lab.configure(store, 2, Lab.route("lookup", "idempotent", "desk"), services, "");
		Lab.log("the ack came " + TimeUnit.NANOSECONDS.toMillis(ack - silentNanos) + " ms after the channels went silent");
		Thread.sleep(6_000);
		traffic.end();
		int late = 0;
		long last = 0;
		for (Runner.Run run : before.runs()) {
			long sent = traffic.sentNanos(run.id());
			if (sent - ack > APPLY_NANOS) {
				late++;
				last = sent - ack;
			}
		}
		Lab.log("the old service ran " + late + " requests that were sent later than config-apply-ms (2000) after the ack"
				+ ((late > 0) ? ", the last sent " + TimeUnit.NANOSECONDS.toMillis(last) + " ms after it" : ""));
		Lab.log("the new service ran " + after.runs().size());
		return late == 0;
	}

}
