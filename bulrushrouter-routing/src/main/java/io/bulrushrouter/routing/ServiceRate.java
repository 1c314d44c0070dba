package io.bulrushrouter.routing;

/**
 * A running estimate of the tokens an upstream serves a second while requests wait for
 * it. Time without waiting requests says nothing of its capacity and isn't counted.
 */
final class ServiceRate {

	/** Time constant of the estimate, in nanoseconds of waiting. */
	private static final double WINDOW_NANOS = 10e9;

	/** Waiting time before the estimate is used, in nanoseconds. */
	private static final double ENOUGH_NANOS = 1e9;

	private double tokens;

	private double nanos;

	private long lastNanos;

	ServiceRate(long nowNanos) {
		this.lastNanos = nowNanos;
	}

	void advance(boolean waiting, long nowNanos) {
		if (waiting) {
			double passed = nowNanos - this.lastNanos;
			double keep = Math.exp(-passed / WINDOW_NANOS);
			this.tokens *= keep;
			this.nanos = this.nanos * keep + passed;
		}
		this.lastNanos = nowNanos;
	}

	void served(boolean waiting, long more) {
		this.tokens += waiting ? more : 0;
	}

	long nanosFor(double wanted) {
		boolean known = this.nanos >= ENOUGH_NANOS && this.tokens > 0;
		return known ? (long) (wanted / this.tokens * this.nanos) : 0;
	}

}
