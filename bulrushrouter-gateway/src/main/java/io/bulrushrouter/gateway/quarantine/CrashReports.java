package io.bulrushrouter.gateway.quarantine;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Operations on the contents of reports.
 */
final class CrashReports {

	private CrashReports() {
	}

	static void addAll(Map<CrashId, Set<Fingerprint>> target, Map<CrashId, Set<Fingerprint>> source) {
		source.forEach((crash, fingerprints) -> target.computeIfAbsent(crash, (key) -> new LinkedHashSet<>())
			.addAll(fingerprints));
	}

	static Map<CrashId, Set<Fingerprint>> copy(Map<CrashId, Set<Fingerprint>> source) {
		Map<CrashId, Set<Fingerprint>> copied = new LinkedHashMap<>();
		addAll(copied, source);
		return copied;
	}

	static CrashReport without(CrashReport report, Set<CrashId> crashes) {
		Map<CrashId, Set<Fingerprint>> suspected = copy(report.suspected());
		suspected.keySet().removeAll(crashes);
		Map<CrashId, Set<Fingerprint>> cleared = copy(report.cleared());
		cleared.keySet().removeAll(crashes);
		return new CrashReport(report.incarnation(), report.sequence(), suspected, cleared);
	}

}
