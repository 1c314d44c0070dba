package lab;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many callers at once pipeline lookups, without any signal: each answer must be the one to the request whose turn it
 * is. TROUBLE=0 does the same with each lookup sent after the answer to the one before.
 */
final class BusyPipelined {

	private static final int CALLERS = 60;

	private static final int GROUP = 4;

	private static volatile boolean ended;

	private BusyPipelined() {
	}

	public static void main(String[] args) {
		Lab.run(BusyPipelined::holds);
	}

	private static boolean holds() throws Exception {
		Store store = new Store();
		for (int index = 0; index < 3; index++) {
			Runner runner = new Runner("i-" + index, "booking", (request) -> ThreadLocalRandom.current().nextInt(1, 30));
			store.put("servers", runner.id(), runner.entry("ready"));
		}
		Lab.configure(store, 1, Lab.route("lookup", "idempotent", "booking"), Lab.service("booking"), "");
		Lab.Gateway gateway = Lab.startGateway("edge-1", store.port());
		Thread.sleep(1_500);
		AtomicInteger answers = new AtomicInteger();
		AtomicInteger wrong = new AtomicInteger();
		for (int caller = 0; caller < CALLERS; caller++) {
			String name = "c" + caller;
			Lab.daemon(name, () -> call(name, gateway.port(), answers, wrong));
		}
		Thread.sleep(30_000);
		ended = true;
		Thread.sleep(500);
		Lab.log(answers + " answers with status 200, " + wrong + " of them to another request than the one due");
		return wrong.get() == 0;
	}

	private static void call(String name, int port, AtomicInteger answers, AtomicInteger wrong) throws Exception {
		int number = 0;
		while (!ended) {
			try (Lab.Caller caller = new Lab.Caller(port)) {
				while (!ended) {
					List<String> due = new ArrayList<>();
					for (int index = 0; index < GROUP && !ended; index++) {
						String id = name + "-" + number++;
						due.add(id);
						caller.send(Lab.request("GET", "/lookup/slots", id, 0));
						if (!Lab.TROUBLE) {
							read(caller, due.remove(0), answers, wrong);
						}
						TimeUnit.MILLISECONDS.sleep(ThreadLocalRandom.current().nextInt(30));
					}
					for (String id : due) {
						read(caller, id, answers, wrong);
					}
				}
			}
			catch (IOException ex) {
				TimeUnit.MILLISECONDS.sleep(20);
			}
		}
	}

	private static void read(Lab.Caller caller, String due, AtomicInteger answers, AtomicInteger wrong)
			throws IOException {
		Http.Message answer = caller.read();
		String got = answer.header("Bulrushrouter-Attempt-Id");
		if (answer.status() == 200) {
			answers.incrementAndGet();
			if (!due.equals(got)) {
				wrong.incrementAndGet();
				Lab.log("caller: due is the answer to " + due + ", came 200 for " + got);
			}
		}
	}

}
