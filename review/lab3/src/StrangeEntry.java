import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.sun.net.httpserver.HttpServer;

/**
 * Another writer registers a console of the service among the runners, without the fields
 * that runners state about their software and their check-ins. The console answers what it
 * doesn't know with 404. No request is to be sent there.
 */
final class StrangeEntry {

	private static final int ENTRIES = 2;

	private static final int RUNNERS = 3;

	private static final int REQUESTS = 600;

	private static final int CHANGE_AT = 100;

	private StrangeEntry() {
	}

	public static void main(String[] args) throws Exception {
		Path root = Path.of(args[0]);
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Path folder = Files.createTempDirectory("strange-entry");
		int exit = 2;
		try (Record record = new Record(Path.of(args[1])); Store store = new Store()) {
			store.put("config", "main",
					new Manifest().service("wuno96b")
						.route("r-fi6y7z5", "/puxa403/", "non_idempotent", 1_500, "wuno96b", 1)
						.json(7));
			for (int index = 0; index < RUNNERS; index++) {
				new AppServer(store, "wuno96b", "i-7f3a91c" + index, 40, record);
			}
			AtomicInteger atConsole = new AtomicInteger();
			HttpServer console = console(record, atConsole);
			try (Deployment deployment = new Deployment(root, folder, store, ENTRIES, record)) {
				if (deployment.start()) {
					exit = play(deployment, store, record, trouble ? console : null, atConsole);
				}
				else {
					record.result("the entries did not become ready");
				}
			}
			console.stop(0);
		}
		System.exit(exit);
	}

	private static HttpServer console(Record record, AtomicInteger received) throws Exception {
		HttpServer console = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 100);
		console.setExecutor(Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task, "console");
			thread.setDaemon(true);
			return thread;
		}));
		console.createContext("/", (exchange) -> {
			received.incrementAndGet();
			String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.ISO_8859_1);
			record.line("the console, which is no runner, gets " + exchange.getRequestMethod() + " "
					+ exchange.getRequestURI() + " with the body '" + body + "'");
			byte[] page = "no such page".getBytes(StandardCharsets.ISO_8859_1);
			exchange.sendResponseHeaders(404, page.length);
			exchange.getResponseBody().write(page);
			exchange.close();
		});
		console.start();
		return console;
	}

	private static int play(Deployment deployment, Store store, Record record, HttpServer console,
			AtomicInteger atConsole) throws Exception {
		AtomicInteger served = new AtomicInteger();
		AtomicInteger denied = new AtomicInteger();
		ExecutorService requesters = Executors.newFixedThreadPool(30);
		for (int index = 0; index < REQUESTS; index++) {
			if (index == CHANGE_AT && console != null) {
				store.put("servers", "wuno96b-console",
						"{\"service\":\"wuno96b\",\"address\":\"127.0.0.1:" + console.getAddress().getPort()
								+ "\",\"zone\":\"zone-a\",\"slots\":8,\"state\":\"ready\"}");
				record.line("another writer's entry wuno96b-console is in the store: version, warmup-left-ms and "
						+ "sequence are missing");
			}
			int number = index;
			requesters.execute(() -> {
				Requester.Answer answer = Requester.send(deployment.callers(number), "POST", "/puxa403/2f",
						"reservation " + number, 3_000);
				boolean own = !answer.stamped() && answer.status() >= 300 && answer.status() < 500
						&& answer.status() != 408 && answer.status() != 421 && answer.status() != 429;
				served.addAndGet((answer.status() == 200) ? 1 : 0);
				denied.addAndGet(own ? 1 : 0);
				record.line("reservation " + number + ", attempt " + answer.attempt() + ": status " + answer.status()
						+ (answer.stamped() ? " with the stamp of a runner" : " without a stamp"));
			});
			Thread.sleep(40);
		}
		requesters.shutdown();
		requesters.awaitTermination(10, TimeUnit.SECONDS);
		double allowed = 5 + REQUESTS / 500.0;
		record.result("reservations: " + REQUESTS + ", served: " + served + ", denied with a 3xx or 4xx that no "
				+ "runner gave: " + denied + " (allowed " + allowed + "); sent to the console: " + atConsole);
		record.result((denied.get() > allowed) ? "BROKEN: DENIED" : "held");
		return (denied.get() > allowed) ? 1 : 0;
	}

}
