import java.util.ArrayList;
import java.util.List;

/** Writes manifests as the operator does. */
final class Manifest {

	static final String HOST = "ficu95.example";

	static final String KEY = "n2ctnfzs989anu6wsjnb";

	static final String TENANT = "hule930";

	private final List<String> routes = new ArrayList<>();

	private final List<String> services = new ArrayList<>();

	private final List<String> tenants = new ArrayList<>(List.of(tenant(TENANT, KEY)));

	private int headerBytes = 16_384;

	private static String tenant(String name, String key) {
		return "{\"name\":\"" + name + "\",\"api-keys\":[\"" + key + "\"]}";
	}

	Manifest addTenant(String name, String key) {
		this.tenants.add(tenant(name, key));
		return this;
	}

	Manifest headerBytes(int bytes) {
		this.headerBytes = bytes;
		return this;
	}

	Manifest route(String name, String prefix, String kind, Object timeoutMillis, String service,
			int maxAttempts) {
		return route(name, prefix, kind, timeoutMillis, service, maxAttempts, false);
	}

	Manifest route(String name, String prefix, String kind, Object timeoutMillis, String service, int maxAttempts,
			boolean anonymous) {
		this.routes.add("{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path-prefix\":\"" + prefix
				+ "\",\"route-kind\":\"" + kind + "\",\"timeout-ms\":" + timeoutMillis
				+ ",\"goal-ms\":401,\"priority\":1,\"service\":\"" + service + "\",\"max-attempts\":" + maxAttempts
				+ ",\"anonymous\":" + anonymous + ",\"sticky\":false,\"resumable\":" + kind.equals("streaming") + "}");
		return this;
	}

	Manifest service(String name) {
		this.services.add("{\"name\":\"" + name
				+ "\",\"health-path\":\"/healthz\",\"max-conns\":348,\"protocol\":\"h1\",\"tls\":false}");
		return this;
	}

	/** Adds a service with model engines in rank groups. */
	Manifest engines(String name, int sets, int experts, int placements) {
		this.services.add("{\"name\":\"" + name
				+ "\",\"health-path\":\"/healthz\",\"max-conns\":348,\"protocol\":\"h1\",\"tls\":false,\"engine\":{"
				+ "\"slots\":8,\"kv-capacity\":329333,\"kv-token-bytes\":52704,\"link-mbps\":44000.0,\"stride\":6,"
				+ "\"models\":[{\"name\":\"m\"}],\"step_ms\":4.84,\"per_seq_ms\":0.543,\"context_per_k\":0.0165,"
				+ "\"read_per_s\":74800.0,\"pairs_per_m\":0.232,\"chunk\":512,\"report_lag_ms\":200.0,"
				+ "\"usual\":{\"prompt\":835,\"answer\":159},\"sets\":" + sets + ",\"experts\":" + experts
				+ ",\"placements\":" + placements
				+ ",\"spare\":4,\"expert-mb\":2200.0,\"expert-share\":0.85,\"form_ms\":600.0}}");
		return this;
	}

	String json(long version) {
		return "{\"version\":" + version + ",\"routes\":[" + String.join(",", this.routes) + "],\"services\":["
				+ String.join(",", this.services)
				+ "],\"limits\":{\"max-header-bytes\":" + this.headerBytes
				+ ",\"max-body-bytes\":4194304,\"header-timeout-ms\":5000,"
				+ "\"idle-timeout-ms\":10000},\"tenants\":[" + String.join(",", this.tenants) + "]}";
	}

}
