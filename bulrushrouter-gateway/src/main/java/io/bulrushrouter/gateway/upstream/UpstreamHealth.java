package io.bulrushrouter.gateway.upstream;

import java.util.concurrent.TimeUnit;

/**
 * Health of one upstream as observed from this entry's own requests, with ejection after
 * consecutive failures. Not thread-safe.
 */
final class UpstreamHealth {

	/** Weight of the newest outcome in the moving average of the failure rate. */
	private static final double NEWEST_OUTCOME_WEIGHT = 0.15;

	/** Consecutive failures after which an upstream is ejected. */
	private static final int FAILURES_TO_EJECT = 2;

	/** Duration of the first ejection; a single stall of a group takes longer. */
	private static final long MIN_EJECTION_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

	/** Maximum duration of an ejection; a restart takes a few seconds. */
	private static final long MAX_EJECTION_NANOS = TimeUnit.SECONDS.toNanos(4);

	private final UpstreamCapacity capacity = new UpstreamCapacity();

	private int inFlight;

	private double failureRate;

	private int consecutiveFailures;

	private int ejections;

	private long ejectedUntilNanos = Long.MIN_VALUE;

	private boolean probeInFlight;

	private boolean responsive = true;

	UpstreamCapacity capacity() {
		return this.capacity;
	}

	int inFlight() {
		return this.inFlight;
	}

	double failureRate() {
		return this.failureRate;
	}

	boolean usable(long nowNanos) {
		return this.responsive && (this.ejections == 0 || (nowNanos >= this.ejectedUntilNanos && !this.probeInFlight));
	}

	boolean responsive() {
		return this.responsive;
	}

	void responsive(boolean responsive) {
		this.responsive = responsive;
	}

	long ejectedUntilNanos() {
		return this.ejectedUntilNanos;
	}

	void started() {
		this.inFlight++;
		this.probeInFlight = this.ejections > 0;
	}

	void succeeded() {
		ended();
		this.failureRate *= 1 - NEWEST_OUTCOME_WEIGHT;
		this.consecutiveFailures = 0;
		this.ejections = 0;
	}

	void failed(long nowNanos) {
		ended();
		this.failureRate += (1 - this.failureRate) * NEWEST_OUTCOME_WEIGHT;
		this.consecutiveFailures++;
		if (this.consecutiveFailures >= FAILURES_TO_EJECT) {
			this.ejections++;
			long ejectionNanos = Math.min(MAX_EJECTION_NANOS, MIN_EJECTION_NANOS << Math.min(this.ejections - 1, 8));
			this.ejectedUntilNanos = nowNanos + ejectionNanos;
		}
	}

	void ended() {
		this.inFlight--;
		this.probeInFlight = false;
	}

}
