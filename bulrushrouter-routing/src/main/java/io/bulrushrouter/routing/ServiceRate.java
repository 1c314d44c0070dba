package io.bulrushrouter.routing;

/**
 * Estimates the rate at which an upstream serves tokens while requests wait for it. Time
 * without waiting requests does not show the upstream's capacity and is not counted.
 */
final class ServiceRate {

	/** Time constant of the estimate, in nanoseconds during which requests wait. */
	private static final double TIME_CONSTANT_NANOS = 10e9;

	/** Time with waiting requests before the estimate is used, in nanoseconds. */
	private static final double MIN_SAMPLE_NANOS = 1e9;

	private double sampleTokens;

	private double sampleNanos;

	private long lastNanos;

	ServiceRate(long nowNanos) {
		this.lastNanos = nowNanos;
	}

	void advance(boolean backlogged, long nowNanos) {
		if (backlogged) {
			double elapsed = nowNanos - this.lastNanos;
			double decay = Math.exp(-elapsed / TIME_CONSTANT_NANOS);
			this.sampleTokens *= decay;
			this.sampleNanos = this.sampleNanos * decay + elapsed;
		}
		this.lastNanos = nowNanos;
	}

	void served(boolean backlogged, long servedTokens) {
		this.sampleTokens += backlogged ? servedTokens : 0;
	}

	long nanosToServe(double tokens) {
		boolean hasEstimate = this.sampleNanos >= MIN_SAMPLE_NANOS && this.sampleTokens > 0;
		return hasEstimate ? (long) (tokens / this.sampleTokens * this.sampleNanos) : 0;
	}

}
