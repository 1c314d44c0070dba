package io.bulrushrouter.experts;

import java.time.Duration;

/**
 * Estimates the popularity of each expert of each layer from reports that may be late,
 * duplicated or missing. A slow and a fast moving average are kept; the estimate moves
 * from the slow to the fast one to the extent that they differ by more than sampling
 * noise, by the positive-part James-Stein rule (Stein, "Inadmissibility of the usual
 * estimator", 1956). Not thread-safe.
 */
public final class PopularityTracker {

	/** The number of sequence numbers for which duplicates are recognised. */
	private static final int DUPLICATE_WINDOW = 64;

	private static final double MIN_SHARE = 1e-6;

	private final int experts;

	private final Average[] fast;

	private final Average[] slow;

	private final long[][] lastSequence;

	private final long[][] seenBits;

	private PopularityTracker(GroupShape shape, Duration fastHalfLife, Duration slowHalfLife) {
		this.experts = shape.experts();
		this.fast = new Average[shape.layers()];
		this.slow = new Average[shape.layers()];
		this.lastSequence = new long[shape.layers()][shape.ranks()];
		this.seenBits = new long[shape.layers()][shape.ranks()];
		for (int layer = 0; layer < shape.layers(); layer++) {
			this.fast[layer] = new Average(shape.experts(), fastHalfLife.toNanos());
			this.slow[layer] = new Average(shape.experts(), slowHalfLife.toNanos());
		}
	}

	/**
	 * Creates a tracker without reports, in which all experts are equally popular.
	 * @param shape the shape of the group
	 * @param fastHalfLife the half-life of reports in the fast average
	 * @param slowHalfLife the half-life of reports in the slow average
	 * @return the tracker
	 */
	public static PopularityTracker of(GroupShape shape, Duration fastHalfLife, Duration slowHalfLife) {
		return new PopularityTracker(shape, fastHalfLife, slowHalfLife);
	}

	/**
	 * Records a report.
	 * @param report the report
	 * @return whether the report was new; a duplicate, or a report too old to be
	 * recognised as one, is dropped
	 */
	public boolean observe(PopularityReport report) {
		if (!markSeen(report)) {
			return false;
		}
		this.fast[report.layer()].add(report.tokens(), report.endNanos());
		this.slow[report.layer()].add(report.tokens(), report.endNanos());
		return true;
	}

	/**
	 * Returns the estimated share of a layer's tokens that each expert gets.
	 * @param layer the layer
	 * @return the shares, adding up to 1
	 */
	public double[] shares(int layer) {
		double drift = drift(layer);
		double fastWeight = (drift > 1) ? 1 - 1 / drift : 0;
		double[] shares = new double[this.experts];
		double sum = 0;
		for (int expert = 0; expert < shares.length; expert++) {
			double base = this.slow[layer].share(expert);
			double share = base + fastWeight * (this.fast[layer].share(expert) - base);
			shares[expert] = Math.max(MIN_SHARE, share);
			sum += shares[expert];
		}
		for (int expert = 0; expert < shares.length; expert++) {
			shares[expert] /= sum;
		}
		return shares;
	}

	/**
	 * Returns the distance of the fast average from the slow one in units of sampling
	 * noise, which is about 1 without drift.
	 * @param layer the layer
	 * @return the chi-square statistic divided by its degrees of freedom
	 */
	public double drift(int layer) {
		double total = this.fast[layer].effectiveTokens();
		double sum = 0;
		for (int expert = 0; expert < this.experts; expert++) {
			double expected = Math.max(MIN_SHARE, this.slow[layer].share(expert));
			double difference = this.fast[layer].share(expert) - expected;
			sum += difference * difference / expected;
		}
		return sum * total / Math.max(1, this.experts - 1);
	}

	private boolean markSeen(PopularityReport report) {
		long[] last = this.lastSequence[report.layer()];
		long[] bits = this.seenBits[report.layer()];
		int rank = report.rank();
		long ahead = report.sequence() - last[rank];
		if (ahead > 0) {
			bits[rank] = (ahead < DUPLICATE_WINDOW) ? bits[rank] << ahead : 0;
			last[rank] = report.sequence();
			ahead = 0;
		}
		if (ahead <= -DUPLICATE_WINDOW) {
			return false;
		}
		long bit = 1L << -ahead;
		boolean isNew = (bits[rank] & bit) == 0;
		bits[rank] |= bit;
		return isNew;
	}

	/** An exponential moving average of the tokens by expert. */
	private static final class Average {

		private final double halfLifeNanos;

		private final double[] tokens;

		private double total;

		private double totalOfSquaredWeights;

		private long newestNanos;

		private boolean empty = true;

		Average(int experts, double halfLifeNanos) {
			this.halfLifeNanos = halfLifeNanos;
			this.tokens = new double[experts];
		}

		void add(int[] counts, long endNanos) {
			if (this.empty || endNanos - this.newestNanos > 0) {
				decay(endNanos);
			}
			double weight = Math.pow(2, (endNanos - this.newestNanos) / this.halfLifeNanos);
			for (int expert = 0; expert < counts.length; expert++) {
				this.tokens[expert] += weight * counts[expert];
				this.total += weight * counts[expert];
				this.totalOfSquaredWeights += weight * weight * counts[expert];
			}
		}

		private void decay(long endNanos) {
			double factor = this.empty ? 0 : Math.pow(2, (this.newestNanos - endNanos) / this.halfLifeNanos);
			for (int expert = 0; expert < this.tokens.length; expert++) {
				this.tokens[expert] *= factor;
			}
			this.total *= factor;
			this.totalOfSquaredWeights *= factor * factor;
			this.newestNanos = endNanos;
			this.empty = false;
		}

		double share(int expert) {
			return (this.total > 0) ? this.tokens[expert] / this.total : 1.0 / this.tokens.length;
		}

		double effectiveTokens() {
			return (this.totalOfSquaredWeights > 0) ? this.total * this.total / this.totalOfSquaredWeights : 0;
		}

	}

}
