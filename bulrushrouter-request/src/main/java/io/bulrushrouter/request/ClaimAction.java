package io.bulrushrouter.request;

import io.bulrushrouter.kernel.AttemptId;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * An action that a sidecar has to perform for claims of idempotency keys.
 */
public sealed interface ClaimAction {

	/**
	 * Claim a key through this process's {@link Claims}; a
	 * {@link ClaimEvent.DecidedLocally} has to follow.
	 *
	 * @param request the claim
	 */
	record ClaimLocally(ClaimRequest request) implements ClaimAction {
	}

	/**
	 * Release a key through this process's {@link Claims}.
	 *
	 * @param request the claim
	 */
	record ReleaseLocally(ClaimRequest request) implements ClaimAction {
	}

	/**
	 * Send a message to another sidecar.
	 *
	 * @param upstream the other sidecar's upstream
	 * @param message the message
	 */
	record Send(UpstreamId upstream, ClaimMessage message) implements ClaimAction {
	}

	/**
	 * Report the outcome to {@link SidecarCalls} as a {@link SidecarEvent.ClaimSettled}.
	 *
	 * @param attempt the attempt
	 * @param outcome the outcome of the claim
	 */
	record Settle(AttemptId attempt, ClaimOutcome outcome) implements ClaimAction {
	}

}
