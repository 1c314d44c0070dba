package io.bulrushrouter.gateway.quarantine;

import java.util.Map;
import java.util.Set;

/**
 * What one entry has seen of crashes.
 *
 * @param incarnation a number that tells the entry's present process from earlier ones
 * @param sequence a number that rises with each report of a process
 * @param suspected the fingerprints of the requests that each crashed upstream was
 * running for this entry
 * @param cleared those of requests to which an upstream has responded without a crash
 */
public record CrashReport(long incarnation, long sequence, Map<CrashId, Set<Fingerprint>> suspected,
		Map<CrashId, Set<Fingerprint>> cleared) {
}
