package io.bulrushrouter.gateway.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Random;

/**
 * Simulates a group of engines in lock-step that serves several entries, with the
 * engines' published performance characteristics. It applies a load to the admission of
 * the entries and reports the credit that callers earn.
 */
final class GroupSimulation {

	private static final int RANKS = 12;

	private static final int SLOTS = 8;

	private static final int ENTRIES = 5;

	private static final int STEPS_PER_PASS = 6;

	private static final double STEP_MILLIS = 4.84;

	private static final double STEP_MILLIS_PER_SEQUENCE = 0.543;

	private static final long OBJECTIVE_MILLIS = 400;

	private static final long MAX_EVENT_GAP_MILLIS = 120;

	private static final double QUEUE_TIMEOUT_MILLIS = 0.4 * OBJECTIVE_MILLIS;

	private static final double LATE_CREDIT = 0.5;

	private final Random random = new Random(11);

	private final boolean limited;

	private final double arrivalsPerSecond;

	private final Entry[] entries = new Entry[ENTRIES];

	private final Rank[] ranks = new Rank[RANKS];

	private double nowMillis;

	private double credit;

	private int arrivals;

	private int refused;

	private int late;

	GroupSimulation(boolean limited, double arrivalsPerSecond) {
		this.limited = limited;
		this.arrivalsPerSecond = arrivalsPerSecond;
		for (int entry = 0; entry < ENTRIES; entry++) {
			this.entries[entry] = new Entry();
		}
		for (int rank = 0; rank < RANKS; rank++) {
			this.ranks[rank] = new Rank();
		}
	}

	/**
	 * Runs the simulation.
	 * @param seconds the simulated time, in seconds
	 * @return the credit earned, as a ratio of the maximum credit of all arrivals
	 */
	double run(double seconds) {
		double nextArrival = 0;
		while (this.nowMillis < 1_000 * seconds) {
			double passMillis = passMillis();
			double end = this.nowMillis + passMillis;
			while (nextArrival < end) {
				this.nowMillis = nextArrival;
				arrive();
				nextArrival += -1_000 / this.arrivalsPerSecond * Math.log(1 - this.random.nextDouble());
			}
			this.nowMillis = end;
			pass();
		}
		return this.credit / this.arrivals;
	}

	// A forward pass takes as long as the fullest rank needs, and longer right after a
	// change of topics.
	private double passMillis() {
		int maxRunning = 1;
		for (Rank rank : this.ranks) {
			maxRunning = Math.max(maxRunning, rank.running.size());
		}
		boolean topicsChange = this.nowMillis % 4_300 < 700;
		return STEPS_PER_PASS * (STEP_MILLIS + STEP_MILLIS_PER_SEQUENCE * maxRunning) * (topicsChange ? 2.6 : 1.25);
	}

	private void arrive() {
		Stream stream = new Stream(this.nowMillis, 5 + this.random.nextInt(43));
		this.arrivals++;
		Entry entry = this.entries[this.random.nextInt(ENTRIES)];
		stream.entry = entry;
		if (!this.limited) {
			entry.queue.limit().started();
			send(stream);
			return;
		}
		entry.offered.add(stream);
		switch (entry.queue.offer(stream, false)) {
			case ADMITTED -> send(stream);
			case REFUSED -> this.refused++;
			default -> {
			}
		}
	}

	private void send(Stream stream) {
		stream.sentMillis = this.nowMillis;
		Rank best = this.ranks[this.random.nextInt(RANKS)];
		for (Rank rank : this.ranks) {
			if (rank.streamsOf(stream.entry) < best.streamsOf(stream.entry)) {
				best = rank;
			}
		}
		best.waiting.add(stream);
	}

	private void pass() {
		long nowNanos = (long) (this.nowMillis * 1e6);
		for (Rank rank : this.ranks) {
			for (Iterator<Stream> streams = rank.running.iterator(); streams.hasNext();) {
				Stream stream = streams.next();
				stream.event(this.nowMillis, nowNanos);
				if (stream.eventsLeft == 0) {
					streams.remove();
					finish(stream);
				}
			}
			while (rank.running.size() < SLOTS && !rank.waiting.isEmpty()) {
				rank.running.add(rank.waiting.poll());
			}
		}
		for (Entry entry : this.entries) {
			entry.expire();
			entry.queue.admitNext().ifPresent(this::send);
		}
	}

	private void finish(Stream stream) {
		this.credit += stream.late ? LATE_CREDIT : 1;
		this.late += stream.late ? 1 : 0;
		stream.entry.queue.limit().ended();
		stream.entry.queue.admitNext().ifPresent(this::send);
	}

	int refused() {
		return this.refused;
	}

	@Override
	public String toString() {
		return "arrivals " + this.arrivals + ", late " + this.late + ", refused " + this.refused + ", credit "
				+ this.credit;
	}

	private final class Entry {

		private final AdmissionQueue<Stream> queue = new AdmissionQueue<>(new ConcurrencyLimit(OBJECTIVE_MILLIS));

		private final List<Stream> offered = new ArrayList<>();

		private Entry() {
			this.queue.limit().slots(RANKS * SLOTS);
		}

		private void expire() {
			for (Stream stream : List.copyOf(this.offered)) {
				if (GroupSimulation.this.nowMillis - stream.arrivedMillis > QUEUE_TIMEOUT_MILLIS) {
					this.offered.remove(stream);
					GroupSimulation.this.refused += this.queue.withdraw(stream) ? 1 : 0;
				}
			}
		}

	}

	private static final class Rank {

		private final Deque<Stream> waiting = new ArrayDeque<>();

		private final List<Stream> running = new ArrayList<>();

		private long streamsOf(Entry entry) {
			return this.running.stream().filter((stream) -> stream.entry == entry).count()
					+ this.waiting.stream().filter((stream) -> stream.entry == entry).count();
		}

	}

	private static final class Stream {

		private final double arrivedMillis;

		private int eventsLeft;

		private Entry entry;

		private double sentMillis;

		private double lastMillis;

		private boolean late;

		private Stream(double arrivedMillis, int events) {
			this.arrivedMillis = arrivedMillis;
			this.eventsLeft = events;
		}

		private void event(double nowMillis, long nowNanos) {
			ConcurrencyLimit limit = this.entry.queue.limit();
			if (this.lastMillis == 0) {
				limit.firstEvent(nowMillis - this.sentMillis, nowNanos);
				this.late = nowMillis - this.arrivedMillis > OBJECTIVE_MILLIS;
			}
			else {
				this.late |= nowMillis - this.lastMillis > MAX_EVENT_GAP_MILLIS;
			}
			this.lastMillis = nowMillis;
			this.eventsLeft--;
		}

	}

}
