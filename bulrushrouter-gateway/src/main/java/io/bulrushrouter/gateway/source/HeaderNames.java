package io.bulrushrouter.gateway.source;

/**
 * The headers of callers and upstreams that carry something for the gateway.
 *
 * @param attemptId names one attempt of a caller; upstreams return it
 * @param deadlineMillis how long the caller waits, in milliseconds
 * @param key the caller's key, which upstreams never see
 * @param organisation the organisation that holds the key, set for upstreams
 * @param expectedUpstream the only upstream that may run the request
 * @param notRun marks an answer of an upstream that has not run the request
 * @param stamp marks an answer that an upstream made
 * @param lastEventId the last event that the caller has of a stream
 * @param priority the request's rank at an engine, 0 to 9
 * @param tokenCounts the prompt's tokens and the most tokens to generate
 * @param faultyUpstream the upstream at fault in a refusal
 */
public record HeaderNames(String attemptId, String deadlineMillis, String key, String organisation,
		String expectedUpstream, String notRun, String stamp, String lastEventId, String priority, String tokenCounts,
		String faultyUpstream) {
}
