package io.bulrushrouter.gateway.upstream;

import java.util.concurrent.TimeUnit;

/**
 * The latency that the upstreams of one service have in common, for each class of
 * requests, and how much single answers and whole upstreams deviate from it. Deviations
 * are natural logarithms of a latency divided by the expected one. Not thread-safe.
 */
final class LatencyReference {

	/** Answers of a class before which another one is not judged by them. */
	private static final int MIN_ANSWERS = 2;

	/** Answers over which the expected latency of a class is averaged. */
	private static final double CLASS_MEMORY = 64;

	/**
	 * Minimum number of answers over which the common deviation is averaged. It is short,
	 * so that a slowdown of all upstreams is not counted against those that answer first.
	 */
	private static final double MIN_COMMON_MEMORY = 16;

	/**
	 * Answers of each upstream over which the common deviation is averaged. The ranks of
	 * a lock-step group send at the same time; fewer answers would make their common
	 * slowness the service's.
	 */
	private static final double COMMON_MEMORY_PER_UPSTREAM = 4;

	/** Pairs of answers over which noise and spread are averaged. */
	private static final double PAIR_MEMORY = 64;

	/** Answers over which the time between two of one upstream is averaged. */
	private static final double GAP_MEMORY = 32;

	/**
	 * Time in which an estimate without answers falls to 1/e, at least. An upstream that
	 * has recovered must get its traffic back within seconds.
	 */
	private static final long MIN_REVERSION_NANOS = TimeUnit.SECONDS.toNanos(10);

	/**
	 * The same, at most. An entry that sends to each of many upstreams once in 10 to 20 s
	 * would otherwise forget each answer before the next.
	 */
	private static final long MAX_REVERSION_NANOS = TimeUnit.SECONDS.toNanos(60);

	/** That time in mean times between two answers of one upstream. */
	private static final double REVERSION_GAPS = 4;

	/**
	 * Time without an answer after which a slow upstream is explored, at least. An
	 * upstream that has recovered is noticed after this time.
	 */
	private static final long MIN_EXPLORATION_NANOS = TimeUnit.SECONDS.toNanos(2);

	/**
	 * That time in mean times between two answers of one upstream. With fewer a slow
	 * upstream among many would be explored as often as others are chosen.
	 */
	private static final double EXPLORATION_GAPS = 3;

	/** Pairs by which the initial noise counts. */
	private static final double INITIAL_PAIRS = 8;

	/** Variance of single answers until it is measured: a standard deviation of 0.5. */
	private static final double INITIAL_NOISE = 0.25;

	/**
	 * Lower bound of the variance of single answers, a factor of 1.4. Pauses of the
	 * entry's own event loop are of this size and are rare enough to be missed.
	 */
	private static final double MIN_NOISE = 0.12;

	/** Upper bound of what a pair adds to the noise, so that a change adds little. */
	private static final double MAX_PAIR_NOISE = 2;

	/** Lower bound of the variance between upstreams, a factor of 1.15. */
	private static final double MIN_SPREAD = 0.02;

	/** Upper bound of the variance between upstreams, a factor of 4.5. */
	private static final double MAX_SPREAD = 2.25;

	/**
	 * Lower bound of a deviation. Latencies have a long lower tail on the logarithmic
	 * scale, which would hide the upper one.
	 */
	private static final double MIN_DEVIATION = -Math.log(2);

	/** Upper bound of a deviation, a factor of 20. */
	private static final double MAX_DEVIATION = Math.log(20);

	private final double[] expected;

	private final int[] answers;

	private double commonMemory = MIN_COMMON_MEMORY;

	private double common;

	private double noise = INITIAL_NOISE;

	private double spread;

	private double pairs = INITIAL_PAIRS;

	private double gapNanos;

	LatencyReference(int classes) {
		this.expected = new double[classes];
		this.answers = new int[classes];
	}

	/**
	 * Sets the number of upstreams with answers.
	 * @param count the number
	 */
	void upstreams(int count) {
		this.commonMemory = Math.max(MIN_COMMON_MEMORY, COMMON_MEMORY_PER_UPSTREAM * count);
	}

	/**
	 * Returns the latency that an answer is expected to have.
	 * @param requestClass the class of the request
	 * @return the latency in nanoseconds, infinite if too little is known of the class
	 */
	double expectedNanos(int requestClass) {
		return (this.answers[requestClass] < MIN_ANSWERS) ? Double.POSITIVE_INFINITY
				: Math.exp(this.expected[requestClass] + this.common);
	}

	/**
	 * Returns how far a latency is from the expected one.
	 * @param nanos the latency in nanoseconds
	 * @param expectedNanos the expected latency in nanoseconds
	 * @return the logarithm of their ratio, bounded
	 */
	static double deviation(double nanos, double expectedNanos) {
		return Math.max(MIN_DEVIATION, Math.min(MAX_DEVIATION, Math.log(nanos / expectedNanos)));
	}

	/**
	 * Learns the latency of an answer.
	 * @param requestClass the class of the request
	 * @param nanos the latency in nanoseconds
	 * @param slowness the estimate of the upstream, which is no property of the class
	 */
	void learn(int requestClass, double nanos, double slowness) {
		double unexplained = Math.log(Math.max(1, nanos)) - slowness - this.common;
		int count = ++this.answers[requestClass];
		this.expected[requestClass] += (unexplained - this.expected[requestClass]) / Math.min(count, CLASS_MEMORY);
		if (count == Integer.MAX_VALUE) {
			this.answers[requestClass] = (int) CLASS_MEMORY;
		}
	}

	/**
	 * Learns the deviation of an answer, whichever upstream sent it.
	 * @param deviation the deviation
	 */
	void learnCommon(double deviation) {
		this.common += deviation / this.commonMemory;
	}

	/**
	 * Learns the time between two successive answers of one upstream.
	 * @param nanos the time in nanoseconds
	 */
	void learnGap(long nanos) {
		this.gapNanos += (Math.min(MAX_REVERSION_NANOS, nanos) - this.gapNanos) / GAP_MEMORY;
	}

	/**
	 * Returns the time in which an estimate without answers falls to 1/e.
	 * @return the time in nanoseconds
	 */
	double reversionNanos() {
		return Math.max(MIN_REVERSION_NANOS, Math.min(MAX_REVERSION_NANOS, REVERSION_GAPS * this.gapNanos));
	}

	/**
	 * Returns the time without an answer after which a slow upstream is explored.
	 * @return the time in nanoseconds
	 */
	long explorationNanos() {
		return (long) Math.max(MIN_EXPLORATION_NANOS, EXPLORATION_GAPS * this.gapNanos);
	}

	/**
	 * Learns from two successive answers of one upstream. What they have in common is the
	 * upstream's own; the rest is noise.
	 * @param earlier the deviation of the earlier answer
	 * @param later the deviation of the later answer
	 */
	void learnPair(double earlier, double later) {
		double weight = 1 / this.pairs;
		double difference = later - earlier;
		double pairNoise = Math.min(MAX_PAIR_NOISE, difference * difference / 2);
		this.noise += weight * (pairNoise - this.noise);
		this.spread += weight * (earlier * later - this.spread);
		this.pairs = Math.min(PAIR_MEMORY, this.pairs + 1);
	}

	double noise() {
		return Math.max(MIN_NOISE, this.noise);
	}

	double spread() {
		return Math.max(MIN_SPREAD, Math.min(MAX_SPREAD, this.spread));
	}

}
