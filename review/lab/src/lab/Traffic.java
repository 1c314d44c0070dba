package lab;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Callers that each send one request after the other on a kept channel, and remember when each was sent. */
final class Traffic {

	private final Map<String, Long> sentNanos = new HashMap<>();

	private final Map<String, Long> answeredNanos = new HashMap<>();

	private final List<String> failures = new ArrayList<>();

	private final int port;

	private final String target;

	private int answered;

	private volatile boolean ended;

	private final String method;

	Traffic(int port, String target, int callers, long pauseMillis) {
		this(port, "GET", target, callers, pauseMillis);
	}

	Traffic(int port, String method, String target, int callers, long pauseMillis) {
		this.port = port;
		this.method = method;
		this.target = target;
		for (int caller = 0; caller < callers; caller++) {
			String name = "c" + caller;
			Lab.daemon(name, () -> call(name, pauseMillis));
		}
	}

	private void call(String name, long pauseMillis) throws Exception {
		int number = 0;
		while (!this.ended) {
			try (Lab.Caller caller = new Lab.Caller(this.port)) {
				boolean open = true;
				while (!this.ended && open) {
					String id = name + "-" + number++;
					synchronized (this) {
						this.sentNanos.put(id, System.nanoTime());
					}
					Lab.detail(sentNanos(id), "sent " + id + " " + this.method + " " + this.target);
					caller.send(Lab.request(this.method, this.target, id, this.method.equals("POST") ? 2 : 0)
							+ (this.method.equals("POST") ? "{}" : ""));
					Http.Message answer = caller.read();
					Lab.detail(System.nanoTime(), "answered " + id + " " + answer.status() + " "
							+ answer.header("Bulrushrouter-Server-Stamp"));
					synchronized (this) {
						this.answered++;
						this.answeredNanos.put(id, System.nanoTime());
						if (answer.status() != 200) {
							this.failures.add(id + " " + answer.status());
						}
					}
					open = !"close".equals(answer.header("Connection"));
					Thread.sleep(pauseMillis);
				}
			}
			catch (IOException ex) {
				synchronized (this) {
					this.failures.add(ex.toString());
				}
				Thread.sleep(pauseMillis);
			}
		}
	}

	/**
	 * Returns how many requests had no answer at a timeout, and how many of them none half a second later.
	 */
	synchronized int[] unanswered(long timeoutMillis) {
		long now = System.nanoTime();
		int atTimeout = 0;
		int later = 0;
		for (Map.Entry<String, Long> each : this.sentNanos.entrySet()) {
			long millis = TimeUnit.NANOSECONDS
				.toMillis(this.answeredNanos.getOrDefault(each.getKey(), now) - each.getValue());
			atTimeout += (millis > timeoutMillis) ? 1 : 0;
			later += (millis > timeoutMillis + 500) ? 1 : 0;
		}
		return new int[] { atTimeout, later };
	}

	synchronized long sentNanos(String id) {
		return this.sentNanos.get(id);
	}

	void end() throws InterruptedException {
		this.ended = true;
		Thread.sleep(500);
		synchronized (this) {
			Lab.log("callers: " + this.sentNanos.size() + " requests sent, " + this.answered + " answered, "
					+ this.failures.size() + " failed " + this.failures.subList(0, Math.min(5, this.failures.size())));
		}
	}

}
