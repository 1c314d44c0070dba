package io.bulrushrouter.daemon.sidecar;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.bulrushrouter.kernel.AttemptId;
import io.bulrushrouter.request.RequestSpec;
import io.bulrushrouter.routing.LoadReport;
import io.bulrushrouter.routing.LoadTracker;

/**
 * Feeds the sidecar's attempts to its {@link LoadTracker}. Owned by the sidecar's duty.
 */
final class LoadWatch {

	private final LoadTracker tracker;

	private final Map<AttemptId, Run> runs = new HashMap<>();

	private long lastKey;

	LoadWatch(LoadTracker tracker) {
		this.tracker = tracker;
	}

	void accepted(AttemptId attempt, RequestSpec spec, long nowNanos) {
		this.lastKey++;
		this.runs.put(attempt, new Run(this.lastKey));
		this.tracker.accepted(this.lastKey, spec.prefixDigest(), spec.prefixTokens(), Math.max(1, spec.promptTokens()),
				nowNanos);
	}

	void answering(AttemptId attempt, long nowNanos) {
		Run run = this.runs.get(attempt);
		if (run != null && !run.answering) {
			run.answering = true;
			this.tracker.firstToken(run.key, nowNanos);
		}
	}

	void ended(AttemptId attempt) {
		Run run = this.runs.remove(attempt);
		if (run != null) {
			this.tracker.ended(run.key);
		}
	}

	void kvUse(double use) {
		this.tracker.kvUse(use);
	}

	LoadReport report(List<Long> prefixDigests, long nowNanos) {
		return this.tracker.report(prefixDigests, nowNanos);
	}

	private static final class Run {

		private final long key;

		private boolean answering;

		private Run(long key) {
			this.key = key;
		}

	}

}
