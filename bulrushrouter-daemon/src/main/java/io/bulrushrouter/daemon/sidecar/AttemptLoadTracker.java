package io.bulrushrouter.daemon.sidecar;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.bulrushrouter.kernel.AttemptId;
import io.bulrushrouter.request.RequestSpec;
import io.bulrushrouter.routing.LoadReport;
import io.bulrushrouter.routing.LoadTracker;

/**
 * Reports the progress of the sidecar's attempts to its {@link LoadTracker}. Accessed by
 * the sidecar's duty only.
 */
final class AttemptLoadTracker {

	private final LoadTracker tracker;

	private final Map<AttemptId, TrackedAttempt> attempts = new HashMap<>();

	private long lastKey;

	AttemptLoadTracker(LoadTracker tracker) {
		this.tracker = tracker;
	}

	void recordAccepted(AttemptId attempt, RequestSpec spec, long nowNanos) {
		this.lastKey++;
		this.attempts.put(attempt, new TrackedAttempt(this.lastKey));
		this.tracker.accepted(this.lastKey, spec.prefixDigest(), spec.prefixTokens(), Math.max(1, spec.promptTokens()),
				nowNanos);
	}

	void recordData(AttemptId attempt, long nowNanos) {
		TrackedAttempt tracked = this.attempts.get(attempt);
		if (tracked != null && !tracked.sawFirstToken) {
			tracked.sawFirstToken = true;
			this.tracker.firstToken(tracked.key, nowNanos);
		}
	}

	void recordEnd(AttemptId attempt) {
		TrackedAttempt tracked = this.attempts.remove(attempt);
		if (tracked != null) {
			this.tracker.ended(tracked.key);
		}
	}

	void recordKvUse(double use) {
		this.tracker.kvUse(use);
	}

	LoadReport report(List<Long> prefixDigests, long nowNanos) {
		return this.tracker.report(prefixDigests, nowNanos);
	}

	private static final class TrackedAttempt {

		private final long key;

		private boolean sawFirstToken;

		private TrackedAttempt(long key) {
			this.key = key;
		}

	}

}
