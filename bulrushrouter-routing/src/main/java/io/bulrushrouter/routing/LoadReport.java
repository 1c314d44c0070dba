package io.bulrushrouter.routing;

import java.util.List;

/**
 * A sidecar's report of its upstream's load. It is sent unsolicited, and may then arrive
 * late, or in answer to a probe.
 *
 * @param incarnation the sidecar's incarnation; a report of another incarnation replaces
 * all that is known of the upstream
 * @param sequence increases with each report of an incarnation
 * @param ageNanos the age of the measurements when the report was sent, in nanoseconds
 * @param queuedTokens prompt tokens that were accepted and not yet prefilled
 * @param running the number of requests in decode
 * @param kvUse the used part of the KV cache, 0 to 1
 * @param millisPerToken the measured prefill time per prompt token, in milliseconds; 0 if
 * unknown
 * @param hints prompt prefixes and how much of each the engine is estimated to cache
 */
public record LoadReport(long incarnation, long sequence, long ageNanos, long queuedTokens, int running, double kvUse,
		double millisPerToken, List<PrefixHint> hints) {

	/**
	 * Creates a report with a copy of the hints.
	 */
	public LoadReport {
		hints = List.copyOf(hints);
	}

}
