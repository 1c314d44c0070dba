package io.bulrushrouter.request;

import java.util.Optional;

import io.bulrushrouter.kernel.AttemptId;
import io.bulrushrouter.kernel.ErrorCode;

/**
 * An action that a sidecar has to perform for its attempts.
 */
public sealed interface SidecarAction {

	/**
	 * Send a message to an entry.
	 *
	 * @param connection the entry's connection
	 * @param message the message
	 */
	record Reply(long connection, CallMessage message) implements SidecarAction {
	}

	/**
	 * Run an attempt on the engine. From here on it counts as started.
	 *
	 * @param attempt the attempt, which the engine's events refer to
	 * @param spec the request; its digest is the engine's seed
	 * @param resumeAfterTokens the number of tokens of the response to skip; the engine
	 * resumes after them, or the attempt has to end as failed and not run, with
	 * {@link ErrorCode#STREAM_BROKEN}
	 */
	record RunOnEngine(AttemptId attempt, RequestSpec spec, int resumeAfterTokens) implements SidecarAction {
	}

	/**
	 * Cancel an attempt on the engine; an {@link SidecarEvent.EngineFailed} or
	 * {@link SidecarEvent.EngineEnd} has to follow.
	 *
	 * @param attempt the attempt
	 */
	record CancelOnEngine(AttemptId attempt) implements SidecarAction {
	}

	/**
	 * Claim an idempotency key; a {@link SidecarEvent.ClaimSettled} has to follow.
	 *
	 * @param request the claim
	 */
	record Claim(ClaimRequest request) implements SidecarAction {
	}

	/**
	 * Release a claim whose request did not run.
	 *
	 * @param request the claim as it was granted
	 */
	record Release(ClaimRequest request) implements SidecarAction {
	}

	/**
	 * Log a decision about an attempt.
	 *
	 * @param attempt the attempt
	 * @param decision the decision
	 * @param code the error, if the attempt was rejected or failed
	 */
	record LogDecision(AttemptId attempt, Decision decision, Optional<ErrorCode> code) implements SidecarAction {
	}

	/**
	 * A decision about an attempt.
	 */
	enum Decision {

		/** The attempt was queued. */
		QUEUED,

		/** The attempt shares the response of an equal request in flight. */
		JOINED,

		/** The attempt got a cached response. */
		REPLAYED,

		/** The attempt was passed to the engine. */
		STARTED,

		/** The attempt's response is complete. */
		ANSWERED,

		/** The attempt did not run. */
		NOT_RUN,

		/** The attempt may have run and has no complete response. */
		FAILED

	}

}
