package io.bulrushrouter.daemon.node;

import io.bulrushrouter.request.ClaimRequest;
import io.bulrushrouter.routing.LoadReport;

/**
 * The control messages between entries and sidecars beside load reports.
 */
public final class ControlMessages {

	private ControlMessages() {
	}

	/**
	 * Sidecar to entries: the upstream leaves, has died or has returned.
	 *
	 * @param leaving whether it leaves
	 * @param healthy whether it can be reached
	 */
	public record UpstreamStateChanged(boolean leaving, boolean healthy) {
	}

	/**
	 * Entry to sidecar, first on each connection: whether the upstream was leaving when
	 * this entry last heard of it.
	 *
	 * @param leaving whether it was
	 */
	public record UpstreamLastKnown(boolean leaving) {
	}

	/**
	 * Sidecar to sidecar, to the home of a key's shard: claim this, or free it.
	 *
	 * @param request the claim
	 * @param release whether to free it
	 */
	public record AskClaim(ClaimRequest request, boolean release) {
	}

	/**
	 * Sidecar to sidecar, from the home: what was decided.
	 *
	 * @param request the claim
	 * @param outcome {@code granted}, {@code key-reused}, {@code held},
	 * {@code unavailable} or {@code lost}
	 * @param recent whether a holder's attempt may still be running
	 * @param retryAfterMillis when to come back, in milliseconds
	 */
	public record ClaimDecided(ClaimRequest request, String outcome, boolean recent, long retryAfterMillis) {
	}

	/**
	 * Entry to sidecar: how busy is your upstream now?
	 *
	 * @param question the question's number at the entry
	 * @param prefixDigest the prompt prefix that the entry asks about
	 */
	public record Probe(long question, long prefixDigest) {
	}

	/**
	 * Sidecar to entry: the answer to a probe.
	 *
	 * @param question the question's number at the entry
	 * @param report the upstream's load at this moment
	 */
	public record ProbeAnswer(long question, LoadReport report) {
	}

	/**
	 * Entry to sidecar: say what your upstream does.
	 *
	 * @param question the question's number at the entry
	 */
	public record ObserveUpstream(long question) {
	}

	/**
	 * Sidecar to entry: what the upstream does.
	 *
	 * @param question the question's number at the entry
	 * @param phase the name of the evacuation's phase
	 * @param inFlight how many requests it has begun and not answered
	 * @param refusal what its engine said when it last refused an order; empty if it did
	 * not
	 */
	public record UpstreamObserved(long question, String phase, int inFlight, String refusal) {
	}

	/**
	 * Entry to sidecar: an order of an evacuation.
	 *
	 * @param question the order's number at the entry
	 * @param order {@code set-leaving}, {@code unload} or {@code stop-upstream}
	 * @param fence the fencing number of the one who orders
	 */
	public record OrderUpstream(long question, String order, long fence) {
	}

	/**
	 * Sidecar to entry: what became of an order.
	 *
	 * @param question the order's number at the entry
	 * @param result {@code done}, {@code refused}, {@code fenced} or {@code unknown}
	 * @param detail details for a person
	 */
	public record UpstreamOrdered(long question, String result, String detail) {
	}

}
