package io.bulrushrouter.routing;

import java.util.List;

/**
 * What a sidecar says of its upstream, unasked and late, or in answer to a probe.
 *
 * @param incarnation the sidecar's incarnation; a report of another one replaces all that
 * was known
 * @param sequence rises with each report of an incarnation
 * @param ageNanos how old the figures were when the report was sent, in nanoseconds
 * @param queuedTokens prompt tokens accepted and not yet prefilled
 * @param running requests in decode
 * @param kvUse the used part of the KV cache, 0 to 1
 * @param millisPerToken measured prefill time a prompt token; 0 if not known
 * @param hints prompt prefixes that the engine is thought to cache
 */
public record LoadReport(long incarnation, long sequence, long ageNanos, long queuedTokens, int running, double kvUse,
		double millisPerToken, List<PrefixHint> hints) {

	/**
	 * Copies the hints.
	 */
	public LoadReport {
		hints = List.copyOf(hints);
	}

}
