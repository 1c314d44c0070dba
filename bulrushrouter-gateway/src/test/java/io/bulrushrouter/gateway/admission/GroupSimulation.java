package io.bulrushrouter.gateway.admission;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleUnaryOperator;
import java.util.function.Predicate;

import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.routing.admission.AdmissionQueue;
import io.bulrushrouter.routing.admission.PaceLimit;
import io.bulrushrouter.routing.admission.PriorityClasses;
import io.bulrushrouter.routing.admission.StreamPace;
import io.bulrushrouter.routing.admission.WaitingStream;

/**
 * Simulates a group of engines in lock-step that serves several entries, with the
 * engines' published performance characteristics. It applies a load to the admission of
 * the entries and reports what callers get.
 */
final class GroupSimulation {

	static final int ENTRIES = 5;

	private static final int RANKS = 12;

	private static final int SLOTS = 8;

	private static final int STEPS_PER_PASS = 6;

	private static final double STEP_MILLIS = 4.84;

	private static final long OBJECTIVE_MILLIS = 400;

	private static final long MAX_EVENT_GAP_MILLIS = 120;

	private static final double QUEUE_TIMEOUT_MILLIS = 0.4 * OBJECTIVE_MILLIS;

	private static final double PATIENCE_MILLIS = 2_000;

	private static final double LATE_CREDIT = 0.5;

	private final Random random = new Random(11);

	private final boolean limited;

	private final Optional<Duration> maxEventGap;

	/**
	 * Added to a step by each running stream: the higher, the more pauses depend on load.
	 */
	private final double stepMillisPerSequence;

	private final DoubleUnaryOperator slowness;

	private final List<Load> loads = new ArrayList<>();

	private final List<Entry> entries = new ArrayList<>();

	private final Rank[] ranks = new Rank[RANKS];

	private final List<Stream> arrivals = new ArrayList<>();

	private double nowMillis;

	private double nextSweepMillis;

	private GroupSimulation(boolean limited, Optional<Duration> maxEventGap, double stepMillisPerSequence,
			DoubleUnaryOperator slowness) {
		this.limited = limited;
		this.maxEventGap = maxEventGap;
		this.stepMillisPerSequence = stepMillisPerSequence;
		this.slowness = slowness;
		for (int entry = 0; entry < ENTRIES; entry++) {
			this.entries.add(new Entry());
		}
		for (int rank = 0; rank < RANKS; rank++) {
			this.ranks[rank] = new Rank();
		}
	}

	/**
	 * Creates a group whose streams are limited by first events at most, and whose topics
	 * change.
	 * @param limited whether streams are limited
	 * @param arrivalsPerSecond the load
	 */
	GroupSimulation(boolean limited, double arrivalsPerSecond) {
		this(limited, Optional.empty(), 0.543, (millis) -> (millis % 4_300 < 700) ? 2.6 : 1.25);
		load(0, Double.MAX_VALUE, arrivalsPerSecond, 0, "organisation");
	}

	/**
	 * Creates a group whose load decides whether pauses are too long.
	 * @param limited whether streams are limited
	 * @param slowness the ratio of the length of a pass to the published one, by the time
	 * in milliseconds
	 * @return the group, without load
	 */
	static GroupSimulation ofPauses(boolean limited, DoubleUnaryOperator slowness) {
		return new GroupSimulation(limited, Optional.of(Duration.ofMillis(MAX_EVENT_GAP_MILLIS)), 1.6, slowness);
	}

	/**
	 * Adds load.
	 * @param fromSeconds when it begins
	 * @param toSeconds when it ends
	 * @param perSecond the streams per second over all entries
	 * @param priority the priority, 0 or 1
	 * @param organisation the organisation
	 * @return this simulation
	 */
	GroupSimulation load(double fromSeconds, double toSeconds, double perSecond, int priority, String organisation) {
		this.loads.add(
				new Load(1_000 * fromSeconds, 1_000 * toSeconds, perSecond, priority, OrganisationId.of(organisation)));
		return this;
	}

	/**
	 * Runs the simulation.
	 * @param seconds when to stop, in simulated seconds since the start
	 * @return the credit earned, as a ratio of the maximum credit of all arrivals
	 */
	double run(double seconds) {
		while (this.nowMillis < 1_000 * seconds) {
			double end = this.nowMillis + passMillis();
			advanceTo(end);
			pass();
		}
		return this.arrivals.stream().mapToDouble(Stream::credit).sum() / this.arrivals.size();
	}

	/**
	 * Ends an entry with all of its streams.
	 */
	void loseEntry() {
		Entry lost = this.entries.remove(0);
		for (Rank rank : this.ranks) {
			rank.running.removeIf((stream) -> stream.entry == lost);
			rank.waiting.removeIf((stream) -> stream.entry == lost);
		}
		this.arrivals.removeIf((stream) -> stream.entry == lost && !stream.finished);
	}

	private void advanceTo(double end) {
		while (true) {
			Load next = this.loads.get(0);
			for (Load load : this.loads) {
				next = (load.nextMillis < next.nextMillis) ? load : next;
			}
			if (Math.min(next.nextMillis, this.nextSweepMillis) > end) {
				this.nowMillis = end;
				return;
			}
			this.nowMillis = Math.min(next.nextMillis, this.nextSweepMillis);
			if (this.nowMillis == this.nextSweepMillis) {
				this.nextSweepMillis += PaceLimit.SWEEP_MILLIS;
				this.entries.forEach((entry) -> entry.admission.sweep(nowNanos()));
			}
			else {
				arrive(next);
			}
		}
	}

	// A forward pass takes as long as the fullest rank needs.
	private double passMillis() {
		int maxRunning = 1;
		for (Rank rank : this.ranks) {
			maxRunning = Math.max(maxRunning, rank.running.size());
		}
		return STEPS_PER_PASS * (STEP_MILLIS + this.stepMillisPerSequence * maxRunning)
				* this.slowness.applyAsDouble(this.nowMillis);
	}

	private void arrive(Load load) {
		load.advance(this.random);
		Entry entry = this.entries.get(this.random.nextInt(this.entries.size()));
		Stream stream = new Stream(this.nowMillis, 5 + this.random.nextInt(43), entry, load);
		this.arrivals.add(stream);
		if (this.limited) {
			stream.waiting = waiting(stream, load);
			entry.admission.offer(stream.waiting, nowNanos());
		}
		else {
			send(stream);
		}
	}

	private WaitingStream<Stream> waiting(Stream stream, Load load) {
		double firstEventMillis = stream.entry.admission.firstEventMillis();
		boolean byPauses = this.maxEventGap.isPresent();
		double punctual = byPauses ? OBJECTIVE_MILLIS - firstEventMillis : QUEUE_TIMEOUT_MILLIS;
		double startBy = byPauses ? PATIENCE_MILLIS - firstEventMillis : QUEUE_TIMEOUT_MILLIS;
		return new WaitingStream<>(stream, load.organisation, load.priority, AdmissionQueue.MEAN_COST, false,
				nowNanos(), nowNanos() + nanos(punctual), nowNanos() + nanos(startBy));
	}

	private long nowNanos() {
		return nanos(this.nowMillis);
	}

	private static long nanos(double millis) {
		return (long) (millis * TimeUnit.MILLISECONDS.toNanos(1));
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
		for (Rank rank : this.ranks) {
			for (Iterator<Stream> streams = rank.running.iterator(); streams.hasNext();) {
				Stream stream = streams.next();
				stream.event(this.nowMillis, nowNanos());
				if (stream.eventsLeft == 0) {
					streams.remove();
					finish(stream);
				}
			}
			while (rank.running.size() < SLOTS && !rank.waiting.isEmpty()) {
				rank.running.add(rank.waiting.poll());
			}
		}
	}

	private void finish(Stream stream) {
		stream.finished = true;
		if (this.limited) {
			stream.entry.admission.ended(stream.waiting, stream.pace, nowNanos());
		}
	}

	int refused() {
		return (int) this.arrivals.stream().filter((stream) -> stream.refused).count();
	}

	/**
	 * Returns the ratio of streams that were on time.
	 * @param fromSeconds when they arrived at the earliest
	 * @param toSeconds when they arrived at the latest
	 * @param kind which of them, by their load
	 * @return the ratio of on-time streams to all that arrived
	 */
	double onTime(double fromSeconds, double toSeconds, Predicate<Load> kind) {
		return ratio(fromSeconds, toSeconds, kind, (stream) -> stream.finished && !stream.late);
	}

	double startedOnTime(double fromSeconds, double toSeconds, Predicate<Load> kind) {
		return ratio(fromSeconds, toSeconds, kind, (stream) -> stream.startedOnTime);
	}

	double served(double fromSeconds, double toSeconds, Predicate<Load> kind) {
		return ratio(fromSeconds, toSeconds, kind, (stream) -> stream.sentMillis > 0);
	}

	private double ratio(double fromSeconds, double toSeconds, Predicate<Load> kind, Predicate<Stream> condition) {
		List<Stream> chosen = this.arrivals.stream()
			.filter((stream) -> kind.test(stream.load) && stream.arrivedMillis >= 1_000 * fromSeconds
					&& stream.arrivedMillis < 1_000 * toSeconds)
			.toList();
		return (double) chosen.stream().filter(condition).count() / chosen.size();
	}

	int inFlight() {
		return this.entries.stream().mapToInt((entry) -> entry.admission.state(0).inFlight()).sum();
	}

	/**
	 * A source of streams.
	 */
	static final class Load {

		private final double toMillis;

		private final double perSecond;

		private final int priority;

		private final OrganisationId organisation;

		private double nextMillis;

		private Load(double fromMillis, double toMillis, double perSecond, int priority, OrganisationId organisation) {
			this.nextMillis = fromMillis;
			this.toMillis = toMillis;
			this.perSecond = perSecond;
			this.priority = priority;
			this.organisation = organisation;
		}

		private void advance(Random random) {
			this.nextMillis += -1_000 / this.perSecond * Math.log(1 - random.nextDouble());
			if (this.nextMillis > this.toMillis) {
				this.nextMillis = Double.MAX_VALUE;
			}
		}

		boolean urgent() {
			return this.priority == 0;
		}

		boolean of(String name) {
			return this.organisation.value().equals(name);
		}

	}

	private final class Entry implements StreamAdmission.Callbacks<Stream> {

		private final StreamAdmission<Stream> admission;

		private Entry() {
			PriorityClasses classes = GroupSimulation.this.maxEventGap.isPresent() ? PriorityClasses.of(List.of(0, 1))
					: PriorityClasses.SINGLE;
			this.admission = new StreamAdmission<>(new AdmissionSettings(Duration.ofMillis(OBJECTIVE_MILLIS),
					GroupSimulation.this.maxEventGap, STEPS_PER_PASS * STEP_MILLIS, 900, classes), this, (ratio) -> {
					}, 0);
			this.admission.slots(RANKS * SLOTS, ENTRIES);
		}

		@Override
		public void admitted(Stream stream) {
			send(stream);
		}

		@Override
		public void refused(Stream stream) {
			stream.refused = true;
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

		private final Entry entry;

		private final Load load;

		private final StreamPace pace = new StreamPace();

		private WaitingStream<Stream> waiting;

		private int eventsLeft;

		private double sentMillis;

		private double lastMillis;

		private boolean startedOnTime;

		private boolean late;

		private boolean refused;

		private boolean finished;

		private Stream(double arrivedMillis, int events, Entry entry, Load load) {
			this.arrivedMillis = arrivedMillis;
			this.eventsLeft = events;
			this.entry = entry;
			this.load = load;
		}

		private double credit() {
			return this.finished ? (this.late ? LATE_CREDIT : 1) : 0;
		}

		private void event(double nowMillis, long nowNanos) {
			if (this.lastMillis == 0) {
				this.entry.admission.firstEvent(nowMillis - this.sentMillis, nowNanos);
				this.startedOnTime = nowMillis - this.arrivedMillis <= OBJECTIVE_MILLIS;
				this.late = !this.startedOnTime;
			}
			else {
				this.late |= nowMillis - this.lastMillis > MAX_EVENT_GAP_MILLIS;
			}
			this.entry.admission.events(this.pace, 1, nowNanos);
			this.lastMillis = nowMillis;
			this.eventsLeft--;
		}

	}

}
