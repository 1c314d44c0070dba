package io.bulrushrouter.request;

import java.util.Optional;

import io.bulrushrouter.kernel.AttemptId;
import io.bulrushrouter.kernel.ErrorCode;

/**
 * What a sidecar has to do for its attempts.
 */
public sealed interface SidecarAction {

	/**
	 * Answer an entry.
	 *
	 * @param connection the entry's connection
	 * @param message the answer
	 */
	record Reply(long connection, CallMessage message) implements SidecarAction {
	}

	/**
	 * Run an attempt on the engine. It counts as started from here on.
	 *
	 * @param attempt the attempt, which the engine's events name
	 * @param spec what to run; its digest is the seed
	 * @param resumeAfterTokens how many tokens of the answer to leave out; the engine has
	 * to resume after them, or the attempt ends as failed, not run, with
	 * {@link ErrorCode#STREAM_BROKEN}
	 */
	record RunOnEngine(AttemptId attempt, RequestSpec spec, int resumeAfterTokens) implements SidecarAction {
	}

	/**
	 * Stop an attempt on the engine; an {@link SidecarEvent.EngineFailed} or
	 * {@link SidecarEvent.EngineEnd} has to follow.
	 *
	 * @param attempt the attempt
	 */
	record CancelOnEngine(AttemptId attempt) implements SidecarAction {
	}

	/**
	 * Claim a key; a {@link SidecarEvent.ClaimSettled} has to follow.
	 *
	 * @param request the claim
	 */
	record Claim(ClaimRequest request) implements SidecarAction {
	}

	/**
	 * Give up a claim whose request did not run.
	 *
	 * @param request the claim as it was granted
	 */
	record Release(ClaimRequest request) implements SidecarAction {
	}

	/**
	 * Write a line to the log.
	 *
	 * @param attempt the attempt
	 * @param decision what was decided
	 * @param code why, if it was refused or failed
	 */
	record LogDecision(AttemptId attempt, Decision decision, Optional<ErrorCode> code) implements SidecarAction {
	}

	/**
	 * What was decided about an attempt.
	 */
	enum Decision {

		/** It waits for its turn. */
		QUEUED,

		/** It shares the answer of an equal request that runs. */
		JOINED,

		/** It got a kept answer. */
		REPLAYED,

		/** It runs on the engine. */
		STARTED,

		/** Its answer is whole. */
		ANSWERED,

		/** It did not run. */
		NOT_RUN,

		/** It may have run and has no whole answer. */
		FAILED

	}

}
