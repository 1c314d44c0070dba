package io.bulrushrouter.request;

import java.util.EnumSet;
import java.util.Set;

import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.Verdict;

/**
 * Decides which outcomes of an attempt allow a retry.
 */
final class RetryRules {

	/** Errors that an attempt at another upstream may avoid. */
	private static final Set<ErrorCode> RETRYABLE = EnumSet.of(ErrorCode.DRAINING, ErrorCode.OVERLOADED,
			ErrorCode.ENGINE_UNREACHABLE, ErrorCode.ENGINE_ERROR, ErrorCode.CONNECTION_LOST, ErrorCode.STREAM_BROKEN,
			ErrorCode.NOT_READY, ErrorCode.RING_FULL, ErrorCode.INTERNAL);

	private RetryRules() {
	}

	static boolean allowsRetry(Verdict outcome, boolean idempotent) {
		return outcome.failure().filter(RETRYABLE::contains).isPresent() && (idempotent || !outcome.mayHaveRun());
	}

	/**
	 * Returns whether a retry consumes a token of the budget. It does not after a
	 * rejection by a draining upstream, which did no work for the attempt.
	 * @param outcome the attempt's outcome
	 * @return whether the retry consumes a token
	 */
	static boolean consumesBudget(Verdict outcome) {
		return !outcome.equals(Verdict.ofNotRun(ErrorCode.DRAINING));
	}

	static boolean suggestsRetryAfter(ErrorCode code) {
		return RETRYABLE.contains(code) || code.httpStatus() >= 500 || code == ErrorCode.LIMIT_EXCEEDED
				|| code == ErrorCode.IN_FLIGHT;
	}

}
