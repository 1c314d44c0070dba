package io.bulrushrouter.routing;

import io.bulrushrouter.kernel.UpstreamId;

/**
 * An upstream that was considered for a request.
 *
 * @param upstream the upstream
 * @param costMillis the expected time to the first token there, in milliseconds
 */
public record Candidate(UpstreamId upstream, double costMillis) {
}
