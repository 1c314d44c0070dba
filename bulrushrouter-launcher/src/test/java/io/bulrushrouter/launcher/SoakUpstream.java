package io.bulrushrouter.launcher;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

import io.bulrushrouter.platform.standin.FleetObjects;
import io.bulrushrouter.standin.FailureAfterRun;

/**
 * An upstream of the soak. It runs most requests, says of some that it has not, and
 * answers others with a failure behind the run, or with a reset. The stamp of an answer
 * names its status.
 */
final class SoakUpstream implements AutoCloseable {

	private static final List<Integer> NOT_RUN_STATUSES = List.of(503, 429, 421, 400);

	private static final String STAMP = ClientShape.NAMES.stamp() + ": ";

	private static final AtomicInteger NUMBERS = new AtomicInteger();

	private final UpstreamStandin standin = new UpstreamStandin(this::answer);

	private final String name = "i-" + NUMBERS.incrementAndGet();

	private final SoakOutcomes outcomes;

	private final Random random;

	private final boolean sound;

	private volatile long goneNanos = Long.MAX_VALUE;

	/**
	 * Starts an upstream.
	 * @param outcomes records what runs
	 * @param seed the seed of its failures
	 * @param sound whether it never fails
	 */
	SoakUpstream(SoakOutcomes outcomes, long seed, boolean sound) throws IOException {
		this.outcomes = outcomes;
		this.random = new Random(seed);
		this.sound = sound;
	}

	String name() {
		return this.name;
	}

	/**
	 * Returns its object in the store.
	 * @param service the service
	 * @param leaving whether it is about to leave
	 * @return the spec
	 */
	byte[] spec(String service, boolean leaving) {
		return FleetObjects.upstream(service, this.standin.port(), leaving);
	}

	/**
	 * Notes that the store has acknowledged its leaving.
	 */
	void leave() {
		this.goneNanos = System.nanoTime();
	}

	private void answer(UpstreamStandin.Request request, Socket connection) throws IOException {
		String id = request.field(ClientShape.NAMES.attemptId());
		String names = ClientShape.NAMES.attemptId() + ": " + id + "\r\n";
		double choice = choose();
		if (!request.line().contains(SoakCaller.PATH)) {
			write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
			return;
		}
		if (System.nanoTime() - this.goneNanos > SoakEntry.DRAIN_NANOS) {
			this.outcomes.late(id);
		}
		if (!this.sound && choice < 0.1) {
			int status = NOT_RUN_STATUSES.get((int) (choice * 10 * NOT_RUN_STATUSES.size()));
			write(connection, "HTTP/1.1 " + status + " Full\r\n" + ClientShape.NAMES.notRun() + ": 1\r\n" + names
					+ STAMP + "s-" + status + "\r\nContent-Length: 0\r\n\r\n");
			return;
		}
		this.outcomes.ran(id);
		if (!this.sound && choice < 0.25) {
			String failure = failure(names);
			write(connection, failure.replaceFirst("\r\n", "\r\n" + STAMP + "s-" + failure.substring(9, 12) + "\r\n"));
		}
		else if (!this.sound && choice < 0.28) {
			this.outcomes.reset(id);
			connection.setSoLinger(true, 0);
			connection.close();
		}
		else {
			write(connection, "HTTP/1.1 200 OK\r\n" + names + STAMP + "s-200\r\nContent-Length: " + (id.length() + 3)
					+ "\r\n\r\nok-" + id);
		}
	}

	private synchronized double choose() {
		return this.random.nextDouble();
	}

	private synchronized String failure(String names) {
		return FailureAfterRun.encode(names, this.random);
	}

	private static void write(Socket connection, String text) throws IOException {
		connection.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
	}

	@Override
	public void close() throws IOException {
		this.standin.close();
	}

}
