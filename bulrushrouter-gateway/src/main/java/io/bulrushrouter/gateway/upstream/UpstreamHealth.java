package io.bulrushrouter.gateway.upstream;

import java.util.concurrent.TimeUnit;

/**
 * What this entry's own requests show of one upstream. Not thread-safe.
 */
final class UpstreamHealth {

	/** Weight of the newest outcome in the failure rate. */
	private static final double NEWEST_WEIGHT = 0.15;

	/** Failures in a row after which an upstream is left alone for a while. */
	private static final int FAILURES_TO_EJECT = 2;

	/** First time that an upstream is left alone; one stall of a group is longer. */
	private static final long FIRST_EJECTION_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

	/** Longest time that an upstream is left alone; restarts take a few seconds. */
	private static final long LONGEST_EJECTION_NANOS = TimeUnit.SECONDS.toNanos(4);

	private int inFlight;

	private double failureRate;

	private int failuresInRow;

	private int ejections;

	private long ejectedUntilNanos = Long.MIN_VALUE;

	private boolean trial;

	int inFlight() {
		return this.inFlight;
	}

	double failureRate() {
		return this.failureRate;
	}

	boolean usable(long nowNanos) {
		return this.ejections == 0 || (nowNanos >= this.ejectedUntilNanos && !this.trial);
	}

	long ejectedUntilNanos() {
		return this.ejectedUntilNanos;
	}

	void started() {
		this.inFlight++;
		this.trial = this.ejections > 0;
	}

	void succeeded() {
		ended();
		this.failureRate *= 1 - NEWEST_WEIGHT;
		this.failuresInRow = 0;
		this.ejections = 0;
	}

	void failed(long nowNanos) {
		ended();
		this.failureRate += (1 - this.failureRate) * NEWEST_WEIGHT;
		this.failuresInRow++;
		if (this.failuresInRow >= FAILURES_TO_EJECT) {
			this.ejections++;
			long pause = Math.min(LONGEST_EJECTION_NANOS, FIRST_EJECTION_NANOS << Math.min(this.ejections - 1, 8));
			this.ejectedUntilNanos = nowNanos + pause;
		}
	}

	void ended() {
		this.inFlight--;
		this.trial = false;
	}

}
