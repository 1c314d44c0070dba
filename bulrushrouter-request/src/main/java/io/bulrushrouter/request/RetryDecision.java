package io.bulrushrouter.request;

import java.util.Optional;

import io.bulrushrouter.kernel.AttemptId;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * A decision about a further attempt, for the log.
 *
 * @param attempt the attempt that failed or is slow
 * @param upstream the upstream of that attempt
 * @param kind the decision
 * @param mayHaveRun whether that attempt may have run
 * @param code the error of the attempt; empty for a hedge
 * @param next the upstream of the next attempt; empty if there is none
 */
public record RetryDecision(AttemptId attempt, UpstreamId upstream, Kind kind, boolean mayHaveRun,
		Optional<ErrorCode> code, Optional<UpstreamId> next) {

	/**
	 * The kind of a decision.
	 */
	public enum Kind {

		/** A further attempt, because the last one failed before a response was sent. */
		RETRY,

		/** A second attempt in parallel with a slow one. */
		HEDGE,

		/** A further attempt that continues an interrupted response. */
		RESUME,

		/** No further attempt. */
		GIVE_UP

	}

}
