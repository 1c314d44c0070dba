package io.bulrushrouter.routing;

/**
 * A running estimate of the tokens an upstream serves a second while requests wait for
 * it. Time without waiting requests says nothing of its capacity and isn't counted.
 */
final class ServiceRate {

	/** Time constant of the estimate, in nanoseconds of waiting. */
	private static final double TIME_CONSTANT_NANOS = 10e9;

	/** Waiting time before the estimate is used, in nanoseconds. */
	private static final double MIN_SAMPLE_NANOS = 1e9;

	private double sampleTokens;

	private double sampleNanos;

	private long lastNanos;

	ServiceRate(long nowNanos) {
		this.lastNanos = nowNanos;
	}

	void advance(boolean waiting, long nowNanos) {
		if (waiting) {
			double passed = nowNanos - this.lastNanos;
			double keep = Math.exp(-passed / TIME_CONSTANT_NANOS);
			this.sampleTokens *= keep;
			this.sampleNanos = this.sampleNanos * keep + passed;
		}
		this.lastNanos = nowNanos;
	}

	void served(boolean waiting, long more) {
		this.sampleTokens += waiting ? more : 0;
	}

	long nanosToServe(double wanted) {
		boolean known = this.sampleNanos >= MIN_SAMPLE_NANOS && this.sampleTokens > 0;
		return known ? (long) (wanted / this.sampleTokens * this.sampleNanos) : 0;
	}

}
