package io.bulrushrouter.gateway.upstream;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import io.bulrushrouter.gateway.config.RouteKind;
import io.bulrushrouter.gateway.source.UpstreamRecord;
import io.bulrushrouter.gateway.upstream.UpstreamSelector.Outcome;

/**
 * Simulates entries that send plain requests to the upstreams of one service, each entry
 * with its own view, and counts what each upstream gets.
 */
final class CapacitySimulation {

	private static final int ENTRIES = 15;

	private static final int SLOTS = 6;

	private static final double WORK_SECONDS = 0.03;

	private static final int MAX_ATTEMPTS = 3;

	private final Random random;

	private final Speed speed;

	private final double noise;

	private final List<UpstreamSelector> entries = new ArrayList<>();

	private final List<UpstreamRecord> upstreams = new ArrayList<>();

	private final int[] running;

	private final PriorityQueue<Completion> completions = new PriorityQueue<>();

	private final boolean learning;

	private double nowSeconds;

	private double nextReviewSeconds;

	private int[] sent;

	private int answered;

	private int refused;

	private double latencySum;

	CapacitySimulation(long seed, int upstreamCount, boolean learning, double noise, Speed speed) {
		this.random = new Random(seed);
		this.learning = learning;
		this.noise = noise;
		this.speed = speed;
		this.running = new int[upstreamCount];
		for (int upstream = 0; upstream < upstreamCount; upstream++) {
			this.upstreams.add(new UpstreamRecord(Integer.toString(upstream), "service",
					InetSocketAddress.createUnresolved("10.0.0.1", 80), "a", SLOTS, false, 0));
		}
		for (int entry = 0; entry < ENTRIES; entry++) {
			this.entries.add(new UpstreamSelector("a", new Random(seed + entry)));
		}
	}

	/**
	 * Runs for a while and forgets the counts of the time before.
	 * @param seconds the time to run
	 * @param requestsPerSecond the requests of all entries together
	 * @return this simulation
	 */
	CapacitySimulation run(double seconds, double requestsPerSecond) {
		this.sent = new int[this.running.length];
		this.answered = 0;
		this.refused = 0;
		this.latencySum = 0;
		double end = this.nowSeconds + seconds;
		while (this.nowSeconds < end) {
			double arrival = this.nowSeconds - Math.log(1 - this.random.nextDouble()) / requestsPerSecond;
			while (!this.completions.isEmpty() && this.completions.peek().atSeconds() <= arrival) {
				complete(this.completions.poll());
			}
			this.nowSeconds = arrival;
			if (this.nowSeconds >= this.nextReviewSeconds) {
				this.entries.forEach((entry) -> entry.review(nanos()));
				this.nextReviewSeconds = this.nowSeconds + 0.5;
			}
			arrive(this.entries.get(this.random.nextInt(ENTRIES)));
		}
		return this;
	}

	private long nanos() {
		return (long) (this.nowSeconds * 1e9);
	}

	private void arrive(UpstreamSelector entry) {
		Set<String> tried = new HashSet<>();
		for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
			Optional<UpstreamRecord> choice = entry.pick(this.upstreams, tried, nanos());
			if (choice.isEmpty()) {
				break;
			}
			UpstreamRecord upstream = choice.get();
			int index = Integer.parseInt(upstream.id());
			entry.started(upstream.id());
			AttemptObservation observation = this.learning
					? entry.observe(upstream, new AttemptSize(RouteKind.IDEMPOTENT, 0, 100), nanos())
					: AttemptObservation.NONE;
			this.sent[index]++;
			if (this.running[index] < SLOTS) {
				double work = WORK_SECONDS * Math.exp(this.noise * this.random.nextGaussian());
				double seconds = work * this.speed.factor(index, this.nowSeconds, ++this.running[index]);
				this.completions
					.add(new Completion(this.nowSeconds + seconds, this.nowSeconds, entry, index, observation));
				return;
			}
			observation.refused(nanos());
			entry.ended(upstream.id(), Outcome.NEUTRAL, nanos());
			tried.add(upstream.id());
		}
		this.refused++;
	}

	private void complete(Completion completion) {
		this.nowSeconds = completion.atSeconds();
		this.running[completion.upstream()]--;
		completion.observation().completed(true, nanos());
		completion.entry().ended(Integer.toString(completion.upstream()), Outcome.SUCCESS, nanos());
		this.answered++;
		this.latencySum += completion.atSeconds() - completion.sentSeconds();
	}

	/**
	 * Returns the part of the requests that an upstream got.
	 * @param upstream the upstream's index
	 * @return the part, 0 to 1
	 */
	double share(int upstream) {
		int sum = 0;
		for (int count : this.sent) {
			sum += count;
		}
		return this.sent[upstream] / (double) sum;
	}

	double meanMillis() {
		return 1_000 * this.latencySum / this.answered;
	}

	int refused() {
		return this.refused;
	}

	/**
	 * The speed of the upstreams.
	 */
	@FunctionalInterface
	interface Speed {

		/**
		 * Returns the factor by which a request takes longer than its work.
		 * @param upstream the upstream's index
		 * @param seconds the time
		 * @param running the requests that run there, with this one
		 * @return the factor
		 */
		double factor(int upstream, double seconds, int running);

	}

	private record Completion(double atSeconds, double sentSeconds, UpstreamSelector entry, int upstream,
			AttemptObservation observation) implements Comparable<Completion> {

		@Override
		public int compareTo(Completion other) {
			return Double.compare(this.atSeconds, other.atSeconds);
		}

	}

}
