package lab;

import java.util.concurrent.TimeUnit;

/**
 * All open channels to the store go silent while new ones work; a runner leaves without having reported that it drains.
 * Once the gateway is in touch again, that runner must get nothing new.
 */
final class SilentDeparture {

	private static final long CONTACT_MILLIS = 3_000;

	private SilentDeparture() {
	}

	public static void main(String[] args) {
		Lab.run(SilentDeparture::holds);
	}

	private static boolean holds() throws Exception {
		Store store = new Store();
		SilentProxy proxy = new SilentProxy(store.port());
		Runner[] runners = new Runner[3];
		for (int index = 0; index < runners.length; index++) {
			runners[index] = new Runner("i-" + index, "booking", (request) -> 60);
			store.put("servers", runners[index].id(), runners[index].entry("ready"));
		}
		Lab.configure(store, 1, Lab.route("reserve", "non_idempotent", "booking"), Lab.service("booking"), "");
		Lab.Gateway gateway = Lab.startGateway("edge-1", proxy.port());
		Traffic traffic = new Traffic(gateway.port(), "POST", "/reserve/slot", 6, 20);
		Thread.sleep(8_000);
		long silentNanos = System.nanoTime();
		if (Lab.TROUBLE) {
			Lab.log("store: " + proxy.silence() + " channels go silent");
		}
		Thread.sleep(500);
		long ack = store.remove("servers", "i-0");
		Lab.log("store: the entry of i-0 is removed, acknowledged");
		Thread.sleep(4_000);
		runners[0].exit();
		Thread.sleep(4_000);
		traffic.end();
		return Departures.held(runners[0], ack, silentNanos + TimeUnit.MILLISECONDS.toNanos(CONTACT_MILLIS));
	}

}
