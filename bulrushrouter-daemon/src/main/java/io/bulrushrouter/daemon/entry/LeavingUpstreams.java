package io.bulrushrouter.daemon.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.bulrushrouter.kernel.UpstreamId;

/**
 * Remembers which upstreams leave, also for a while after their sidecar was lost: a
 * sidecar that restarts keeps nothing and learns it from the entries. Owned by the
 * entry's duty.
 */
final class LeavingUpstreams {

	/** How long a lost sidecar's upstream is remembered as leaving. */
	static final long RETENTION_NANOS = TimeUnit.MINUTES.toNanos(5);

	private static final long NO_EXPIRY = Long.MAX_VALUE;

	private final Map<UpstreamId, Long> expiryNanos = new HashMap<>();

	/**
	 * Notes what a sidecar or the live list says.
	 * @param upstream the upstream
	 * @param leaving whether it leaves
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
	 * Notes that the connection to an upstream's sidecar was lost.
	 * @param upstream the upstream
	 * @param nowNanos the time
	 */
	void disconnected(UpstreamId upstream, long nowNanos) {
		this.expiryNanos.computeIfPresent(upstream, (key, before) -> nowNanos + RETENTION_NANOS);
	}

	/**
	 * Tells whether an upstream was leaving when it was last heard of.
	 * @param upstream the upstream
	 * @param nowNanos the time
	 * @return whether it was, and this is not too long ago
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
