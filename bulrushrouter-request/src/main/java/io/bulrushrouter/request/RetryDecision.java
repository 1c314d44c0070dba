package io.bulrushrouter.request;

import java.util.Optional;

import io.bulrushrouter.kernel.AttemptId;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * A decision about another attempt, for the log.
 *
 * @param attempt the attempt that ended or lags
 * @param upstream where it went
 * @param kind what was decided
 * @param mayHaveRun whether the request may have run by now
 * @param code why the attempt ended; empty for a hedge
 * @param next where the next attempt goes, if there is one
 */
public record RetryDecision(AttemptId attempt, UpstreamId upstream, Kind kind, boolean mayHaveRun,
		Optional<ErrorCode> code, Optional<UpstreamId> next) {

	/**
	 * What was decided.
	 */
	public enum Kind {

		/** Another attempt, since the last one ended without an answer. */
		RETRY,

		/** A second attempt beside one that is slow. */
		HEDGE,

		/** Another attempt that carries a broken stream on. */
		RESUME,

		/** No further attempt. */
		GIVE_UP

	}

}
