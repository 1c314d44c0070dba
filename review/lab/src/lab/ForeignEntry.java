package lab;

/** Another writer leaves an entry among those of the runners; then a runner reports that it drains. */
final class ForeignEntry {

	private ForeignEntry() {
	}

	public static void main(String[] args) {
		Lab.run(ForeignEntry::holds);
	}

	private static boolean holds() throws Exception {
		Store store = new Store();
		Runner[] runners = new Runner[3];
		for (int index = 0; index < runners.length; index++) {
			runners[index] = new Runner("i-" + index, "booking", (request) -> 60);
			store.put("servers", runners[index].id(), runners[index].entry("ready"));
		}
		Lab.configure(store, 1, Lab.route("reserve", "non_idempotent", "booking"), Lab.service("booking"), "");
		Lab.Gateway gateway = Lab.startGateway("edge-1", store.port());
		Traffic traffic = new Traffic(gateway.port(), "POST", "/reserve/slot", 6, 20);
		Thread.sleep(5_000);
		if (Lab.TROUBLE) {
			// Strings of the store are sent byte by byte: these bytes are not UTF-8.
			String entry = "bytes".equals(System.getenv("VARIANT")) ? "\"\u00ff\u00fe\u0080\""
					: runners[0].entry("ready").replace("\"slots\":6", "\"slots\":4294967295");
			store.put("servers", "i-foreign", entry);
			Lab.log("another writer: i-foreign " + entry);
		}
		Thread.sleep(4_000);
		long ack = store.put("servers", "i-0", runners[0].entry("draining"));
		Lab.log("runner i-0: draining, acknowledged");
		Thread.sleep(4_000);
		runners[0].exit();
		Thread.sleep(2_000);
		traffic.end();
		return Departures.held(runners[0], ack);
	}

}
