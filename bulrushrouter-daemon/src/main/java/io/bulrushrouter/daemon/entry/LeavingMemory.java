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
final class LeavingMemory {

	/** How long a lost sidecar's upstream is remembered as leaving. */
	static final long KEPT_NANOS = TimeUnit.MINUTES.toNanos(5);

	private static final long WHILE_CONNECTED = Long.MAX_VALUE;

	private final Map<UpstreamId, Long> until = new HashMap<>();

	/**
	 * Notes what a sidecar or the live list says.
	 * @param upstream the upstream
	 * @param leaving whether it leaves
	 */
	void heard(UpstreamId upstream, boolean leaving) {
		if (leaving) {
			this.until.put(upstream, WHILE_CONNECTED);
		}
		else {
			this.until.remove(upstream);
		}
	}

	/**
	 * Notes that the connection to an upstream's sidecar was lost.
	 * @param upstream the upstream
	 * @param nowNanos the time
	 */
	void lost(UpstreamId upstream, long nowNanos) {
		this.until.computeIfPresent(upstream, (key, before) -> nowNanos + KEPT_NANOS);
	}

	/**
	 * Tells whether an upstream was leaving when it was last heard of.
	 * @param upstream the upstream
	 * @param nowNanos the time
	 * @return whether it was, and this is not too long ago
	 */
	boolean lastKnown(UpstreamId upstream, long nowNanos) {
		Long end = this.until.get(upstream);
		boolean leaving = end != null && (end == WHILE_CONNECTED || nowNanos - end < 0);
		if (!leaving) {
			this.until.remove(upstream);
		}
		return leaving;
	}

}
