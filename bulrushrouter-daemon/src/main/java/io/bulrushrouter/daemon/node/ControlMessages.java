package io.bulrushrouter.daemon.node;

import io.bulrushrouter.request.ClaimRequest;
import io.bulrushrouter.routing.LoadReport;

/**
 * Control messages between entries and sidecars, and between sidecars, other than load
 * reports.
 */
public final class ControlMessages {

	private ControlMessages() {
	}

	/**
	 * Sidecar to entries: the upstream started to leave, became unreachable or became
	 * reachable again.
	 *
	 * @param leaving whether the upstream is leaving
	 * @param healthy whether the upstream is reachable
	 */
	public record UpstreamStateChanged(boolean leaving, boolean healthy) {
	}

	/**
	 * Entry to sidecar, sent first on each connection: whether the upstream was leaving
	 * in the last state that this entry received.
	 *
	 * @param leaving whether the upstream was leaving
	 */
	public record UpstreamLastKnown(boolean leaving) {
	}

	/**
	 * Sidecar to sidecar, sent to the sidecar responsible for the key's shard: requests a
	 * claim or releases it.
	 *
	 * @param request the claim
	 * @param release whether to release the claim instead of requesting it
	 */
	public record AskClaim(ClaimRequest request, boolean release) {
	}

	/**
	 * Sidecar to sidecar, sent by the sidecar responsible for the key's shard: the
	 * decision on a claim.
	 *
	 * @param request the claim
	 * @param outcome {@code granted}, {@code key-reused}, {@code held},
	 * {@code unavailable} or {@code lost}
	 * @param recent whether a holder's attempt may still be running
	 * @param retryAfterMillis the delay before a retry, in milliseconds
	 */
	public record ClaimDecided(ClaimRequest request, String outcome, boolean recent, long retryAfterMillis) {
	}

	/**
	 * Entry to sidecar: requests the upstream's current load.
	 *
	 * @param question the correlation number that the entry assigned
	 * @param prefixDigest the digest of the prompt prefix that the entry wants to route
	 */
	public record Probe(long question, long prefixDigest) {
	}

	/**
	 * Sidecar to entry: the answer to a probe.
	 *
	 * @param question the correlation number that the entry assigned
	 * @param report the upstream's current load
	 */
	public record ProbeAnswer(long question, LoadReport report) {
	}

	/**
	 * Entry to sidecar: requests the upstream's evacuation state.
	 *
	 * @param question the correlation number that the entry assigned
	 */
	public record ObserveUpstream(long question) {
	}

	/**
	 * Sidecar to entry: the upstream's evacuation state.
	 *
	 * @param question the correlation number that the entry assigned
	 * @param phase the name of the evacuation phase
	 * @param inFlight the number of requests started and not yet answered
	 * @param refusal the engine's reason if it refused the last order, otherwise empty
	 */
	public record UpstreamObserved(long question, String phase, int inFlight, String refusal) {
	}

	/**
	 * Entry to sidecar: an evacuation order.
	 *
	 * @param question the correlation number that the entry assigned to the order
	 * @param order {@code set-leaving}, {@code unload} or {@code stop-upstream}
	 * @param fence the fencing token of the sender
	 */
	public record OrderUpstream(long question, String order, long fence) {
	}

	/**
	 * Sidecar to entry: the result of an order.
	 *
	 * @param question the correlation number that the entry assigned to the order
	 * @param result {@code done}, {@code refused}, {@code fenced} or {@code unknown}
	 * @param detail a human-readable description
	 */
	public record UpstreamOrdered(long question, String result, String detail) {
	}

}
