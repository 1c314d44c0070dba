package lab;

import java.util.Arrays;

/**
 * A caller sends a reservation with a body behind a lookup, on a kept channel; the gateway's machine freezes and wakes
 * while the body is on its way. The runner must get the whole body.
 */
final class PipelinedBody {

	private static final long SLOW_MILLIS = 400;

	private static final int PART = 3_000;

	private PipelinedBody() {
	}

	public static void main(String[] args) {
		Lab.run(PipelinedBody::holds);
	}

	private static boolean holds() throws Exception {
		Store store = new Store();
		Runner runner = new Runner("i-1", "booking", (request) -> request.target().contains("slow") ? SLOW_MILLIS : 5);
		store.put("servers", runner.id(), runner.entry("ready"));
		Lab.configure(store, 1,
				Lab.route("lookup", "idempotent", "booking") + "," + Lab.route("reserve", "non_idempotent", "booking"),
				Lab.service("booking"), "");
		Lab.Gateway gateway = Lab.startGateway("edge-1", store.port());
		Thread.sleep(1_500);
		byte[] body = new byte[3 * PART];
		for (int index = 0; index < body.length; index++) {
			body[index] = (byte) ('a' + index / PART);
		}
		try (Lab.Caller caller = new Lab.Caller(gateway.port())) {
			caller.send(Lab.request("GET", "/lookup/slow", "aaaa", 0));
			caller.send(Lab.request("POST", "/reserve/slot", "bbbb", body.length));
			caller.send(Arrays.copyOfRange(body, 0, PART));
			Lab.log("caller: sent lookup aaaa, and reservation bbbb with the first third of its body");
			Thread.sleep(150);
			if (Lab.TROUBLE) {
				gateway.signal("STOP");
			}
			Thread.sleep(SLOW_MILLIS + 150);
			caller.send(Arrays.copyOfRange(body, PART, 2 * PART));
			Lab.log("caller: sent the second third");
			Thread.sleep(300);
			if (Lab.TROUBLE) {
				gateway.signal("CONT");
			}
			Thread.sleep(200);
			caller.send(Arrays.copyOfRange(body, 2 * PART, 3 * PART));
			Lab.log("caller: sent the last third");
			for (int answers = 0; answers < 2; answers++) {
				Http.Message answer = caller.read();
				Lab.log("caller: got " + answer.status() + " for " + answer.header("Bulrushrouter-Attempt-Id"));
			}
		}
		boolean held = true;
		for (Runner.Run run : runner.runs()) {
			byte[] sent = run.id().equals("bbbb") ? body : new byte[0];
			boolean same = Arrays.equals(sent, run.body());
			Lab.log("runner: ran " + run.id() + " " + run.target() + " with a body of " + run.body().length
					+ " bytes, sent were " + sent.length + (same ? "" : ": CHANGED"));
			held &= same;
		}
		return held;
	}

}
