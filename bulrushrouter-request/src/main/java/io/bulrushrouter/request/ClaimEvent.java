package io.bulrushrouter.request;

import io.bulrushrouter.kernel.UpstreamId;

/**
 * What happens to the claims of one sidecar.
 */
public sealed interface ClaimEvent {

	/**
	 * An attempt here needs its key.
	 *
	 * @param request the claim
	 */
	record ClaimRequested(ClaimRequest request) implements ClaimEvent {
	}

	/**
	 * An attempt here did not run and frees its key.
	 *
	 * @param request the claim
	 */
	record ReleaseRequested(ClaimRequest request) implements ClaimEvent {
	}

	/**
	 * Another sidecar said something.
	 *
	 * @param from the other sidecar's upstream
	 * @param message what it said
	 */
	record Received(UpstreamId from, ClaimMessage message) implements ClaimEvent {
	}

	/**
	 * {@link Claims} decided here.
	 *
	 * @param request the claim
	 * @param outcome what was decided
	 */
	record DecidedLocally(ClaimRequest request, ClaimOutcome outcome) implements ClaimEvent {
	}

	/**
	 * The connection to another sidecar was lost, or there is none.
	 *
	 * @param upstream the other sidecar's upstream
	 */
	record PeerLost(UpstreamId upstream) implements ClaimEvent {
	}

	/**
	 * Time passed.
	 */
	record Tick() implements ClaimEvent {
	}

}
