package io.bulrushrouter.gateway.quarantine;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The crashes that a fingerprint is suspected of.
 */
final class Suspicion {

	private static final int MAX_DOUBLINGS = 8;

	private final Set<CrashId> crashes = new LinkedHashSet<>();

	private long firstNanos = Long.MAX_VALUE;

	private long lastNanos = Long.MIN_VALUE;

	private boolean quarantined;

	void add(CrashId crash, long nanos) {
		this.crashes.add(crash);
		this.firstNanos = Math.min(this.firstNanos, nanos);
		this.lastNanos = Math.max(this.lastNanos, nanos);
	}

	Set<CrashId> crashes() {
		return this.crashes;
	}

	boolean quarantined() {
		return this.quarantined;
	}

	void quarantined(boolean quarantined) {
		this.quarantined = quarantined;
	}

	long firstNanos() {
		return this.firstNanos;
	}

	long lastNanos() {
		return this.lastNanos;
	}

	long durationNanos() {
		int doublings = Math.min(this.crashes.size() - SuspicionTable.CRASHES_TO_QUARANTINE, MAX_DOUBLINGS);
		return Math.min(CrashEvidence.MAX_QUARANTINE_NANOS, CrashEvidence.FIRST_QUARANTINE_NANOS << doublings);
	}

	long endNanos() {
		return this.lastNanos + durationNanos();
	}

	Set<String> upstreams() {
		return this.crashes.stream().map(CrashId::upstream).collect(Collectors.toCollection(LinkedHashSet::new));
	}

}
