import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Locale;

/**
 * The operator takes the keys of the only tenant away, by a manifest whose list of tenants
 * is empty. Do requests with these keys still run after revoke-ms?
 */
public final class LastTenant extends Lab {

	/** The bound revoke-ms of the site. */
	private static final double REVOKE_SECONDS = 5;

	private LastTenant() {
	}

	public static void main(String[] args) {
		run(args, LastTenant::play);
	}

	private static int play(boolean trouble, Path folder) throws Exception {
		Store store = new Store(HOST);
		String routes = route("lookup", "/lookup/", "idempotent", 1_500, "booking-api", 2, "") + ","
				+ route("reserve", "/reserve/", "non_idempotent", 1_500, "booking-api", 1, "");
		String withTenant = manifest(1, routes, service("booking-api"), "\"key1\"");
		store.put("config", "main", withTenant);
		Work work = (runner, socket, in, out, message) -> {
			ran(runner, message);
			sleep(60);
			answer(out, message, "{\"slot\":\"free\"}");
		};
		for (int index = 0; index < 3; index++) {
			new Runner(store, HOST, "i-" + index, "booking-api", "z-a", 6, work);
		}
		Entry first = Entry.startReady(store, "edge-1", folder);
		Entry second = Entry.startReady(store, "edge-2", folder);
		log("both entries are ready");
		log("key unknown to all manifests, before: " + ask(first, "never-a-key"));
		for (int index = 0; index < 8; index++) {
			boolean read = index < 4;
			new Requester((index % 2 == 0) ? first : second, "requester-" + index, read ? "GET" : "POST",
					read ? "/lookup/1" : "/reserve/1", 3_000, 120);
		}
		sleep(5_000);
		double acknowledged = Double.MAX_VALUE;
		if (trouble) {
			store.put("config", "main",
					withTenant.replace("\"version\":1,", "\"version\":4,")
						.replaceAll("\"tenants\":\\[.*\\]", "\"tenants\":[]"));
			acknowledged = now();
			log("manifest 4 takes the only tenant and its key away, and the store has accepted it");
		}
		sleep(12_000);
		log("key unknown to all manifests, at the end: " + ask(first, "never-a-key"));
		int late = 0;
		for (Asked asked : allAsked()) {
			log(asked.toString());
			late += (asked.sent > acknowledged + REVOKE_SECONDS && !asked.runs.isEmpty()) ? 1 : 0;
		}
		log(ASKED.size() + " requests; " + late + " with the key that was taken away were sent more than "
				+ String.format(Locale.ROOT, "%.0f", REVOKE_SECONDS) + " s after that and have run");
		return (late > 0) ? BROKEN : KEPT;
	}

	private static String ask(Entry entry, String key) {
		try (Socket socket = entry.connect()) {
			socket.setSoTimeout(3_000);
			socket.getOutputStream()
				.write(requestHead("GET", "/lookup/1", newId(), 2_000, "").replace("key1", key)
					.getBytes(StandardCharsets.ISO_8859_1));
			Message answer = Message.read(new BufferedInputStream(socket.getInputStream()), true);
			return (answer == null) ? "closed" : answer.first;
		}
		catch (IOException ex) {
			return "no answer: " + ex.getMessage();
		}
	}

}
