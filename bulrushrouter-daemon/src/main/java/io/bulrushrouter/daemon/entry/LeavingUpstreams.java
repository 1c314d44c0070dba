package io.bulrushrouter.daemon.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.bulrushrouter.kernel.UpstreamId;

/**
 * Tracks which upstreams are leaving, also for a while after the connection to their
 * sidecar is lost. A sidecar that restarts has lost this state and recovers it from the
 * entries. Accessed by the entry's duty only.
 */
final class LeavingUpstreams {

	/** How long an upstream counts as leaving after its sidecar has disconnected. */
	static final long RETENTION_NANOS = TimeUnit.MINUTES.toNanos(5);

	private static final long NO_EXPIRY = Long.MAX_VALUE;

	private final Map<UpstreamId, Long> expiryNanos = new HashMap<>();

	/**
	 * Records the state reported by a sidecar or by the live list.
	 * @param upstream the upstream
	 * @param leaving whether the upstream is leaving
	 */
	void update(UpstreamId upstream, boolean leaving) {
		if (leaving) {
			this.expiryNanos.put(upstream, NO_EXPIRY);
		}
		else {
			this.expiryNanos.remove(upstream);
		}
	}

	/**
	 * Starts the retention time of an upstream whose sidecar has disconnected.
	 * @param upstream the upstream
	 * @param nowNanos the current time, in nanoseconds
	 */
	void disconnected(UpstreamId upstream, long nowNanos) {
		this.expiryNanos.computeIfPresent(upstream, (key, before) -> nowNanos + RETENTION_NANOS);
	}

	/**
	 * Returns whether the last known state of an upstream is leaving.
	 * @param upstream the upstream
	 * @param nowNanos the current time, in nanoseconds
	 * @return whether the upstream was last reported as leaving and the retention time
	 * has not passed
	 */
	boolean isLeaving(UpstreamId upstream, long nowNanos) {
		Long expiry = this.expiryNanos.get(upstream);
		boolean leaving = expiry != null && (expiry == NO_EXPIRY || nowNanos - expiry < 0);
		if (!leaving) {
			this.expiryNanos.remove(upstream);
		}
		return leaving;
	}

}
