package io.bulrushrouter.request;

import io.bulrushrouter.kernel.UpstreamId;

/**
 * An event of the claims of one sidecar.
 */
public sealed interface ClaimEvent {

	/**
	 * An attempt of this sidecar needs to claim its key.
	 *
	 * @param request the claim
	 */
	record ClaimRequested(ClaimRequest request) implements ClaimEvent {
	}

	/**
	 * An attempt of this sidecar did not run and releases its key.
	 *
	 * @param request the claim
	 */
	record ReleaseRequested(ClaimRequest request) implements ClaimEvent {
	}

	/**
	 * A message from another sidecar was received.
	 *
	 * @param from the other sidecar's upstream
	 * @param message the message
	 */
	record Received(UpstreamId from, ClaimMessage message) implements ClaimEvent {
	}

	/**
	 * This process's {@link Claims} decided a claim.
	 *
	 * @param request the claim
	 * @param outcome the outcome of the claim
	 */
	record DecidedLocally(ClaimRequest request, ClaimOutcome outcome) implements ClaimEvent {
	}

	/**
	 * The connection to another sidecar was lost or does not exist.
	 *
	 * @param upstream the other sidecar's upstream
	 */
	record PeerLost(UpstreamId upstream) implements ClaimEvent {
	}

	/**
	 * The time of {@link ClaimRouter#nextWakeNanos()} was reached.
	 */
	record Tick() implements ClaimEvent {
	}

}
