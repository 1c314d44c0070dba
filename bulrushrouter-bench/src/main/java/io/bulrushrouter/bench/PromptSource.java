package io.bulrushrouter.bench;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import io.bulrushrouter.bench.ChoiceScenario.Sharing;

/**
 * Draws random prompts. Organisations follow Zipf's law with ranks that change over time,
 * prefixes are shared within an organisation, and the arrival rate varies by 10% around
 * its mean.
 */
final class PromptSource {

	private static final int ORGANISATIONS = 300;

	private static final int PREFIXES_PER_ORGANISATION = 2;

	private static final int PREFIX_TOKENS = 1536;

	private static final double MEAN_SUFFIX_TOKENS = 400;

	private static final double DRIFT_PERIOD_NANOS = 30e9;

	/** Interval at which two random organisations swap their ranks, in nanoseconds. */
	private static final long SWAP_INTERVAL_NANOS = 500_000_000L;

	private final ChoiceScenario scenario;

	private final SplittableRandom random;

	private final double[] cumulative = new double[ORGANISATIONS];

	private final int[] organisationsByRank = IntStream.range(0, ORGANISATIONS).toArray();

	private long lastSwapNanos;

	private long lastUniqueDigest = 1L << 40;

	PromptSource(ChoiceScenario scenario, SplittableRandom random) {
		this.scenario = scenario;
		this.random = random;
		double sum = 0;
		for (int i = 0; i < ORGANISATIONS; i++) {
			sum += 1.0 / (i + 1);
			this.cumulative[i] = sum;
		}
	}

	double interArrivalMillis(long nowNanos) {
		double drift = 1 + 0.1 * Math.sin(2 * Math.PI * nowNanos / DRIFT_PERIOD_NANOS);
		double rate = this.scenario.requestsPerSecond() * drift;
		return -Math.log(1 - this.random.nextDouble()) / rate * 1000;
	}

	DrawnPrompt next(long nowNanos) {
		while (nowNanos - this.lastSwapNanos > SWAP_INTERVAL_NANOS) {
			this.lastSwapNanos += SWAP_INTERVAL_NANOS;
			swap(this.random.nextInt(ORGANISATIONS), this.random.nextInt(ORGANISATIONS));
		}
		int organisation = this.organisationsByRank[rank(this.random.nextDouble())];
		int suffix = 1 + (int) (-Math.log(1 - this.random.nextDouble()) * MEAN_SUFFIX_TOKENS);
		int prefixIndex = this.random.nextInt(PREFIXES_PER_ORGANISATION);
		this.lastUniqueDigest++;
		if (this.scenario.sharing() == Sharing.HOT && this.random.nextBoolean()) {
			return new DrawnPrompt(0, 1, PREFIX_TOKENS, PREFIX_TOKENS + suffix);
		}
		if (this.scenario.sharing() == Sharing.NONE) {
			return new DrawnPrompt(organisation, this.lastUniqueDigest, 0, PREFIX_TOKENS / 2 + suffix);
		}
		long digest = organisation * PREFIXES_PER_ORGANISATION + prefixIndex + 1;
		int prefix = PREFIX_TOKENS + (organisation % 5 - 2) * 256;
		return new DrawnPrompt(organisation, digest, prefix, prefix + suffix);
	}

	List<Long> randomDigests() {
		return IntStream.range(0, 8)
			.mapToObj((i) -> (long) this.random.nextInt(ORGANISATIONS * PREFIXES_PER_ORGANISATION) + 1)
			.toList();
	}

	private int rank(double uniform) {
		double target = uniform * this.cumulative[ORGANISATIONS - 1];
		int low = 0;
		int high = ORGANISATIONS - 1;
		while (low < high) {
			int middle = (low + high) / 2;
			if (this.cumulative[middle] < target) {
				low = middle + 1;
			}
			else {
				high = middle;
			}
		}
		return low;
	}

	private void swap(int one, int other) {
		int previous = this.organisationsByRank[one];
		this.organisationsByRank[one] = this.organisationsByRank[other];
		this.organisationsByRank[other] = previous;
	}

	/**
	 * A drawn prompt.
	 *
	 * @param organisation the number of the organisation
	 * @param digest the digest of the prefix
	 * @param prefixTokens the length of the prefix, in tokens
	 * @param tokens the length of the prompt including the prefix, in tokens
	 */
	record DrawnPrompt(int organisation, long digest, int prefixTokens, int tokens) {
	}

}
