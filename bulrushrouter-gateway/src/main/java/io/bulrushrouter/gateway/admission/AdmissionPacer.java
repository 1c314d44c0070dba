package io.bulrushrouter.gateway.admission;

import java.util.concurrent.TimeUnit;

/**
 * Bounds the rate at which streams are started, as a token bucket. After a stall or a
 * change of the demand for experts all entries see room at the same moment; the prompts
 * of all waiting streams at once would lengthen the next passes of the group. Not
 * thread-safe.
 */
final class AdmissionPacer {

	/**
	 * Starts per second as a multiple of this entry's equal share of the slots. A stream
	 * runs for a second or longer, so this is more than a group can complete.
	 */
	private static final double STARTS_PER_SHARE = 2;

	/** Smallest rate, in starts per second. */
	private static final double MIN_RATE = 10;

	/** Starts at once as a share of this entry's equal share of the slots. */
	private static final double BURST_SHARE = 0.25;

	private static final double MIN_BURST = 3;

	private double ratePerSecond = MIN_RATE;

	private double burst = MIN_BURST;

	private double tokens = MIN_BURST;

	private long refilledNanos;

	AdmissionPacer(long nowNanos) {
		this.refilledNanos = nowNanos;
	}

	void rate(double equalShare) {
		this.ratePerSecond = Math.max(MIN_RATE, STARTS_PER_SHARE * equalShare);
		this.burst = Math.max(MIN_BURST, BURST_SHARE * equalShare);
	}

	int available(long nowNanos) {
		refill(nowNanos);
		return (int) this.tokens;
	}

	void take(long nowNanos) {
		refill(nowNanos);
		this.tokens = Math.max(0, this.tokens - 1);
	}

	private void refill(long nowNanos) {
		double elapsed = (double) (nowNanos - this.refilledNanos) / TimeUnit.SECONDS.toNanos(1);
		this.tokens = Math.min(this.burst, this.tokens + elapsed * this.ratePerSecond);
		this.refilledNanos = nowNanos;
	}

}
