package io.bulrushrouter.request;

import io.bulrushrouter.kernel.AttemptId;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * What a sidecar has to do about claims.
 */
public sealed interface ClaimAction {

	/**
	 * Claim a key with {@link Claims}; a {@link ClaimEvent.DecidedLocally} has to follow.
	 *
	 * @param request the claim
	 */
	record ClaimLocally(ClaimRequest request) implements ClaimAction {
	}

	/**
	 * Free a key with {@link Claims}.
	 *
	 * @param request the claim
	 */
	record ReleaseLocally(ClaimRequest request) implements ClaimAction {
	}

	/**
	 * Tell another sidecar.
	 *
	 * @param upstream the other sidecar's upstream
	 * @param message what to say
	 */
	record Send(UpstreamId upstream, ClaimMessage message) implements ClaimAction {
	}

	/**
	 * Tell {@link SidecarCalls} with a {@link SidecarEvent.ClaimSettled}.
	 *
	 * @param attempt the attempt
	 * @param outcome what was decided
	 */
	record Settle(AttemptId attempt, ClaimOutcome outcome) implements ClaimAction {
	}

}
