package io.bulrushrouter.gateway.forward;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

import io.bulrushrouter.gateway.source.UpstreamRecord;

/**
 * Several entries before several upstreams, each of which crashes as it begins to write
 * the response to a fatal request. An upstream starts again at its address, with another
 * identifier, when the test says so.
 */
final class CrashingFleet implements AutoCloseable {

	private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Stamp: s\r\n"
			+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

	private static final String EVENTS = "f\r\nid: 1\ndata: x\n\n\r\nf\r\nid: 2\ndata: y\n\n\r\n";

	private static final String END = "0\r\n\r\n";

	/** The header of a request whose response stops after its events. */
	static final String ENDLESS = "X-Endless: 1\r\n";

	/** The header of a request that gets no response. */
	static final String WAITING = "X-Waiting: 1\r\n";

	/** The header of a request whose connection is reset by an upstream that goes on. */
	static final String RESET = "X-Reset: 1\r\n";

	private static final int SLOTS = 8;

	/** Time within which all entries must know what the upstreams crashed for. */
	static final Duration CONTACT = Duration.ofSeconds(3);

	private static final int MAX_ROUNDS = 30;

	private final List<ScriptedUpstream> upstreams = new ArrayList<>();

	private final List<Integer> incarnations = new ArrayList<>();

	private final List<GatewayFixture> entries = new ArrayList<>();

	private final SharedCrashReports reports = new SharedCrashReports();

	private final List<GatewayFixture.Caller> openCallers = new ArrayList<>();

	private final AtomicInteger fatalRequests = new AtomicInteger();

	CrashingFleet(int entryCount, int upstreamCount, Predicate<String> fatal) throws Exception {
		for (int index = 0; index < upstreamCount; index++) {
			int position = index;
			this.upstreams
				.add(ScriptedUpstream.start((number, request, reply) -> respond(position, fatal, request, reply)));
			this.incarnations.add(0);
		}
		for (int index = 0; index < entryCount; index++) {
			addEntry();
		}
	}

	/**
	 * Starts another entry.
	 * @return the entry
	 * @throws Exception if the event loop fails
	 */
	GatewayFixture addEntry() throws Exception {
		GatewayFixture entry = new GatewayFixture("entry-" + this.entries.size(), this.reports);
		this.entries.add(entry);
		list();
		return entry;
	}

	/**
	 * Returns the store of the entries' reports.
	 * @return the store
	 */
	SharedCrashReports reports() {
		return this.reports;
	}

	private void respond(int position, Predicate<String> fatal, String request, ScriptedUpstream.Reply reply)
			throws IOException {
		if (fatal.test(request)) {
			this.fatalRequests.incrementAndGet();
			reply.write(request.contains(" /stream/") ? HEAD : "");
			this.upstreams.get(position).crash();
			return;
		}
		if (request.contains("X-Waiting")) {
			return;
		}
		if (request.contains("X-Reset")) {
			reply.reset();
			return;
		}
		if (!request.contains(" /stream/")) {
			reply.write("HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\nhello");
			return;
		}
		reply.write(HEAD + EVENTS + (request.contains("X-Endless") ? "" : END));
	}

	/**
	 * Lets an upstream crash by itself in each fifth round, and resets connections in
	 * each third.
	 * @param round the number of the round
	 * @throws IOException if a socket cannot be closed
	 */
	void disturb(int round) throws IOException {
		if (round % 5 == 4) {
			this.upstreams.get(round % this.upstreams.size()).crash();
		}
		if (round % 3 == 2) {
			this.upstreams.get((round + 1) % this.upstreams.size()).resetConnections();
		}
	}

	/**
	 * Opens a caller's connection that stays open until the fleet is closed.
	 * @param index the number of the entry
	 * @return the caller
	 * @throws IOException if the entry cannot be reached
	 */
	GatewayFixture.Caller openCaller(int index) throws IOException {
		GatewayFixture.Caller caller = entry(index).caller();
		this.openCallers.add(caller);
		return caller;
	}

	/**
	 * Waits until all entries have checked their lost connections, and starts the crashed
	 * upstreams again with new identifiers.
	 * @throws Exception if an event loop fails, or an upstream cannot be started
	 */
	void settle() throws Exception {
		await(CONTACT, GatewayFixture::connectionsChecked);
		restartCrashed();
	}

	/**
	 * Waits until all entries have several fingerprints in quarantine, or a time has
	 * passed.
	 * @param count the number of fingerprints
	 * @param limit the time
	 * @throws Exception if an event loop fails
	 */
	void awaitQuarantines(int count, Duration limit) throws Exception {
		await(limit, (entry) -> entry.quarantines() >= count);
	}

	private void await(Duration limit, Condition condition) throws Exception {
		long endNanos = System.nanoTime() + limit.toNanos();
		for (GatewayFixture entry : this.entries) {
			while (!condition.holds(entry) && System.nanoTime() < endNanos) {
				Thread.onSpinWait();
			}
		}
	}

	/**
	 * Plays rounds until fatal requests have crashed several upstreams, gives the entries
	 * the time to learn of it, and plays as many rounds as may be needed again.
	 * @param crashesToKnow the crashes after which the entries must know their causes
	 * @param causes the number of causes
	 * @param round plays one round
	 * @return what became of the requests
	 * @throws Exception if a round fails
	 */
	Outcome play(int crashesToKnow, int causes, Round round) throws Exception {
		int served = 0;
		int rounds = 0;
		while (fatalRequests() < crashesToKnow && rounds < MAX_ROUNDS) {
			served += round.play(rounds++) ? 1 : 0;
		}
		awaitQuarantines(causes, CONTACT);
		int known = fatalRequests();
		for (int later = 0; later < MAX_ROUNDS; later++) {
			served += round.play(rounds++) ? 1 : 0;
		}
		return new Outcome(fatalRequests() - known, rounds - served);
	}

	private void restartCrashed() throws Exception {
		for (int index = 0; index < this.upstreams.size(); index++) {
			if (this.upstreams.get(index).crashed()) {
				this.upstreams.get(index).restart();
				this.incarnations.set(index, this.incarnations.get(index) + 1);
			}
		}
		list();
	}

	private void list() throws Exception {
		List<UpstreamRecord> records = new ArrayList<>();
		for (int index = 0; index < this.upstreams.size(); index++) {
			records.add(new UpstreamRecord("up-" + index + "-" + this.incarnations.get(index), "service",
					this.upstreams.get(index).address(), "a", SLOTS, false, this.incarnations.get(index) + 1));
		}
		for (GatewayFixture entry : this.entries) {
			entry.list(records);
		}
	}

	GatewayFixture entry(int index) {
		return this.entries.get(index % this.entries.size());
	}

	/**
	 * Returns how many fatal requests have reached an upstream.
	 * @return the number
	 */
	int fatalRequests() {
		return this.fatalRequests.get();
	}

	@Override
	public void close() throws IOException {
		for (GatewayFixture.Caller caller : this.openCallers) {
			caller.close();
		}
		this.entries.forEach(GatewayFixture::close);
		for (ScriptedUpstream upstream : this.upstreams) {
			upstream.close();
		}
	}

	/**
	 * One round of requests.
	 */
	@FunctionalInterface
	interface Round {

		/**
		 * Plays the round.
		 * @param number the number of the round
		 * @return whether the sound request at its end was served
		 * @throws Exception if a connection breaks
		 */
		boolean play(int number) throws Exception;

	}

	/**
	 * What became of the requests.
	 *
	 * @param fatalAfterwards the fatal requests that reached upstreams after their causes
	 * must have been known
	 * @param soundRefused the sound requests that were not served
	 */
	record Outcome(int fatalAfterwards, int soundRefused) {
	}

	/**
	 * A condition of an entry.
	 */
	@FunctionalInterface
	private interface Condition {

		boolean holds(GatewayFixture entry) throws Exception;

	}

}
