package lab;

import java.io.IOException;

/** A caller has sent two requests on a kept channel; the gateway is stopped with SIGTERM while the first is at work. */
final class PipelinedStop {

	private PipelinedStop() {
	}

	public static void main(String[] args) {
		Lab.run(PipelinedStop::holds);
	}

	private static boolean holds() throws Exception {
		Store store = new Store();
		Runner runner = new Runner("i-1", "booking", (request) -> request.target().contains("slow") ? 1_200 : 5);
		store.put("servers", runner.id(), runner.entry("ready"));
		Lab.configure(store, 1,
				Lab.route("lookup", "idempotent", "booking") + "," + Lab.route("reserve", "non_idempotent", "booking"),
				Lab.service("booking"), "");
		Lab.Gateway gateway = Lab.startGateway("edge-1", store.port());
		Thread.sleep(1_500);
		int answered = 0;
		try (Lab.Caller caller = new Lab.Caller(gateway.port())) {
			caller.send(Lab.request("GET", "/lookup/slow", "aaaa", 0) + Lab.request("POST", "/reserve/slot", "bbbb", 2) + "{}");
			Lab.log("caller: sent lookup aaaa and reservation bbbb");
			Thread.sleep(400);
			if (Lab.TROUBLE) {
				gateway.signal("TERM");
			}
			for (; answered < 2; answered++) {
				Http.Message answer = caller.read();
				Lab.log("caller: got " + answer.status() + " for " + answer.header("Bulrushrouter-Attempt-Id")
						+ ", Connection: " + answer.header("Connection"));
			}
		}
		catch (IOException ex) {
			Lab.log("caller: after " + answered + " answers: " + ex);
		}
		runner.runs().forEach((run) -> Lab.log("runner: ran " + run.id() + " " + run.target()));
		return answered == 2;
	}

}
