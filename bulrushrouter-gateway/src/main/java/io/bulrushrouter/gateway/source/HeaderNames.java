package io.bulrushrouter.gateway.source;

/**
 * The names of the HTTP headers that the gateway exchanges with callers and upstreams.
 *
 * @param attemptId the header that identifies one attempt of a caller; upstreams return
 * it
 * @param deadlineMillis the header with the time that the caller waits, in milliseconds
 * @param key the header with the caller's key, which is not forwarded to upstreams
 * @param organisation the header with the organisation that owns the key, set for
 * upstreams
 * @param expectedUpstream the header with the only upstream that may run the request
 * @param notRun the header that marks an answer of an upstream that has not run the
 * request
 * @param stamp the header that marks an answer as made by an upstream
 * @param lastEventId the header with the last event of a stream that the caller received
 * @param priority the header with the priority of the request at an engine, 0 to 9
 * @param tokenCounts the header with the number of prompt tokens and the maximum number
 * of tokens to generate
 * @param faultyUpstream the header with the upstream that caused a refusal
 * @param limit the header in which an upstream names the requests per second that it
 * takes from all entries together
 * @param leaving the header in which an upstream says that it is about to stop
 * @param promptParts the header with the parts of the prompt in their order, each as its
 * identifier and its number of tokens; the last part is the request's own
 * @param warmup the header of a health response in which an upstream says how long it
 * stays cold, in milliseconds
 */
public record HeaderNames(String attemptId, String deadlineMillis, String key, String organisation,
		String expectedUpstream, String notRun, String stamp, String lastEventId, String priority, String tokenCounts,
		String faultyUpstream, String limit, String leaving, String promptParts, String warmup) {
}
