package io.bulrushrouter.gateway.upstream;

import java.util.concurrent.TimeUnit;

/**
 * Decides whether an upstream responds at all. An upstream that owes a response and has
 * sent nothing for a while is probed, since it may only be busy. If it does not answer
 * the probe either, it is unresponsive until it sends something again: its instance may
 * be suspended while the kernel still accepts connections and requests. Not thread-safe.
 */
public final class ResponsivenessDetector {

	/**
	 * Silence after which an upstream is probed, longer than the usual time to the first
	 * event of a stream.
	 */
	private static final long PROBE_AFTER_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	/** Time that an upstream has to answer a probe, for which it needs no slot. */
	private static final long PROBE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

	/** Interval between the first two probes; it doubles while they are not answered. */
	private static final long MIN_PROBE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

	private static final long MAX_PROBE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(4_000);

	private int owedResponses;

	private long silentSinceNanos;

	private boolean probeInFlight;

	private boolean probedBefore;

	private long lastProbeNanos;

	private long probeIntervalNanos = MIN_PROBE_INTERVAL_NANOS;

	private boolean unresponsive;

	/**
	 * Records that a request was sent.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void requestSent(long nowNanos) {
		if (this.owedResponses++ == 0) {
			this.silentSinceNanos = nowNanos;
		}
	}

	/**
	 * Records that no response to a request is expected any more.
	 */
	public void requestEnded() {
		this.owedResponses--;
	}

	/**
	 * Records that the upstream sent something, on any connection.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void heard(long nowNanos) {
		this.silentSinceNanos = nowNanos;
		this.probeInFlight = false;
		this.probeIntervalNanos = MIN_PROBE_INTERVAL_NANOS;
		this.unresponsive = false;
	}

	/**
	 * Restarts the measurement of silence, after this process itself was suspended or
	 * busy and could not have read a response.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void restart(long nowNanos) {
		this.silentSinceNanos = nowNanos;
		this.lastProbeNanos = nowNanos;
	}

	/**
	 * Decides what to do next.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the action
	 */
	public Action poll(long nowNanos) {
		if (this.probeInFlight && !this.unresponsive && nowNanos - this.lastProbeNanos >= PROBE_TIMEOUT_NANOS) {
			this.unresponsive = true;
			return Action.DECLARE_UNRESPONSIVE;
		}
		if (!probeDue(nowNanos)) {
			return Action.NONE;
		}
		if (this.probeInFlight) {
			this.probeIntervalNanos = Math.min(MAX_PROBE_INTERVAL_NANOS, 2 * this.probeIntervalNanos);
		}
		this.probeInFlight = true;
		this.probedBefore = true;
		this.lastProbeNanos = nowNanos;
		return Action.PROBE;
	}

	private boolean probeDue(long nowNanos) {
		if (this.probedBefore && nowNanos - this.lastProbeNanos < this.probeIntervalNanos) {
			return false;
		}
		return this.unresponsive
				|| (this.owedResponses > 0 && nowNanos - this.silentSinceNanos >= PROBE_AFTER_SILENCE_NANOS);
	}

	/**
	 * Returns whether the upstream failed to answer a probe and has sent nothing since.
	 * @return whether it is unresponsive
	 */
	public boolean unresponsive() {
		return this.unresponsive;
	}

	/**
	 * Returns whether nothing needs to be watched.
	 * @return whether no response is owed and the upstream is responsive
	 */
	public boolean idle() {
		return this.owedResponses == 0 && !this.unresponsive;
	}

	/**
	 * Returns how long the upstream has been silent.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the time since its last byte, or since it began to owe a response, in
	 * milliseconds
	 */
	public long silentMillis(long nowNanos) {
		return TimeUnit.NANOSECONDS.toMillis(nowNanos - this.silentSinceNanos);
	}

	/**
	 * The next action.
	 */
	public enum Action {

		/** Nothing is due. */
		NONE,

		/** Send a probe; an earlier one that is still open can be given up. */
		PROBE,

		/** The upstream has just become unresponsive. */
		DECLARE_UNRESPONSIVE

	}

}
