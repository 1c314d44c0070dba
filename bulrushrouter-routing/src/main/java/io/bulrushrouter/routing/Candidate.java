package io.bulrushrouter.routing;

import io.bulrushrouter.kernel.UpstreamId;

/**
 * An upstream considered for a request, with its cost.
 *
 * @param upstream the upstream
 * @param costMillis the cost by which the chooser compared it, lowest best: for choosers
 * by cost the expected time to the first token, in milliseconds; otherwise the chooser's
 * score
 */
public record Candidate(UpstreamId upstream, double costMillis) {
}
