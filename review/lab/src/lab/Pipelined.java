package lab;

import java.util.List;

/**
 * A caller pipelines requests on a kept channel; the gateway's machine freezes and wakes. Each answer must be the one
 * to the request whose turn it is.
 */
final class Pipelined {

	private static final long SLOW_MILLIS = 400;

	private Pipelined() {
	}

	public static void main(String[] args) {
		Lab.run(Pipelined::holds);
	}

	private static boolean holds() throws Exception {
		Store store = new Store();
		Runner runner = new Runner("i-1", "booking", (request) -> request.target().contains("slow") ? SLOW_MILLIS : 5);
		store.put("servers", runner.id(), runner.entry("ready"));
		Lab.configure(store, 1, Lab.route("lookup", "idempotent", "booking"), Lab.service("booking"), "");
		Lab.Gateway gateway = Lab.startGateway("edge-1", store.port());
		Thread.sleep(1_500);
		boolean held = true;
		try (Lab.Caller caller = new Lab.Caller(gateway.port())) {
			caller.send(Lab.request("GET", "/lookup/slow?of=a", "aaaa", 0) + Lab.request("GET", "/lookup/quick?of=b", "bbbb", 0));
			Lab.log("caller: sent aaaa and bbbb");
			Thread.sleep(150);
			if (Lab.TROUBLE) {
				gateway.signal("STOP");
			}
			Thread.sleep(SLOW_MILLIS + 150);
			caller.send(Lab.request("GET", "/lookup/quick?of=c", "cccc", 0));
			Lab.log("caller: sent cccc");
			Thread.sleep(300);
			if (Lab.TROUBLE) {
				gateway.signal("CONT");
			}
			for (String expected : List.of("aaaa", "bbbb", "cccc")) {
				Http.Message answer = caller.read();
				String got = answer.header("Bulrushrouter-Attempt-Id");
				Lab.log("caller: due is the answer to " + expected + ", came " + answer.status() + " for " + got + ": "
						+ new String(answer.body()));
				held &= expected.equals(got);
			}
		}
		runner.runs().forEach((run) -> Lab.log("runner: ran " + run.id() + " " + run.target()));
		return held;
	}

}
