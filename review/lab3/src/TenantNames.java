import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * A manifest adds two tenants whose names are Slovak and differ in one letter. Runners
 * are to be told which of them holds the key of a request.
 */
final class TenantNames {

	private static final int ENTRIES = 2;

	private static final long APPLIED_MILLIS = 4_000;

	private TenantNames() {
	}

	public static void main(String[] args) throws Exception {
		Path root = Path.of(args[0]);
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Path folder = Files.createTempDirectory("tenant-names");
		int exit = 2;
		try (Record record = new Record(Path.of(args[1])); Store store = new Store()) {
			store.put("config", "main", manifest().json(7));
			for (int index = 0; index < 2; index++) {
				new AppServer(store, "wuno96b", "i-7f3a91c" + index, 20, record);
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

	private static Manifest manifest() {
		return new Manifest().service("wuno96b")
			.route("r-fi6y7z5", "/pufi791/", "idempotent", 1_500, "wuno96b", 2);
	}

	private static int play(Deployment deployment, Store store, Record record, boolean trouble) throws Exception {
		Map<String, String> names = new HashMap<>();
		names.put("kj2ctnfzs989anu6wsj1", trouble ? "Pek\u00e1re\u0148 \u017diar" : "Pekaren Ziar");
		names.put("kj2ctnfzs989anu6wsj2", trouble ? "Pek\u00e1re\u0148 \u0160iar" : "Pekaren Siar");
		Manifest changed = manifest();
		names.forEach((key, name) -> changed.addTenant(name, key));
		store.put("config", "main", changed.json(8));
		record.line("the store has acknowledged version 8 with the tenants " + names.values());
		Thread.sleep(APPLIED_MILLIS);
		int served = 0;
		int wrong = 0;
		Map<String, Set<String>> told = new HashMap<>();
		for (int index = 0; index < 100; index++) {
			for (Map.Entry<String, String> tenant : names.entrySet()) {
				Requester.Answer answer = Requester.send(deployment.callers(index), "GET", "/pufi791/2f",
						tenant.getKey(), "", 1_500);
				String bytes = AppServer.TENANTS.get(answer.attempt());
				served += (answer.status() == 200) ? 1 : 0;
				if (bytes == null) {
					continue;
				}
				String utf8 = new String(bytes.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
				boolean right = bytes.equals(tenant.getValue()) || utf8.equals(tenant.getValue());
				wrong += right ? 0 : 1;
				told.computeIfAbsent(bytes, (key) -> new HashSet<>()).add(tenant.getValue());
				record.line("attempt " + answer.attempt() + " with the key of '" + tenant.getValue() + "': status "
						+ answer.status() + ", the runner was told '" + bytes + "'");
			}
			Thread.sleep(20);
		}
		long shared = told.values().stream().filter((holders) -> holders.size() > 1).count();
		record.result("served: " + served + " of 200, run under a name that isn't the tenant's: " + wrong
				+ "; names that stood for more than one tenant: " + shared);
		record.result((wrong > 0) ? "BROKEN: UNASKED" : "held");
		return (wrong > 0) ? 1 : 0;
	}

}
