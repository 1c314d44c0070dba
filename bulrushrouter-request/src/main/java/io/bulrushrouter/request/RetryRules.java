package io.bulrushrouter.request;

import java.util.EnumSet;
import java.util.Set;

import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.Verdict;

/**
 * Which outcomes of an attempt allow another one.
 */
final class RetryRules {

	/** Outcomes that another upstream may do better than. */
	private static final Set<ErrorCode> RETRYABLE = EnumSet.of(ErrorCode.DRAINING, ErrorCode.OVERLOADED,
			ErrorCode.ENGINE_UNREACHABLE, ErrorCode.ENGINE_ERROR, ErrorCode.CONNECTION_LOST, ErrorCode.STREAM_BROKEN,
			ErrorCode.NOT_READY, ErrorCode.RING_FULL, ErrorCode.INTERNAL);

	private RetryRules() {
	}

	static boolean allowsRetry(Verdict outcome, boolean idempotent) {
		return outcome.failure().filter(RETRYABLE::contains).isPresent() && (idempotent || !outcome.mayHaveRun());
	}

	/**
	 * Tells whether a repeat adds load that the budget has to bound. A draining upstream
	 * did no work for the attempt that it handed back.
	 * @param outcome the attempt's outcome
	 * @return whether the repeat takes a token
	 */
	static boolean consumesBudget(Verdict outcome) {
		return !outcome.equals(Verdict.ofNotRun(ErrorCode.DRAINING));
	}

	static boolean suggestsRetryAfter(ErrorCode code) {
		return RETRYABLE.contains(code) || code.httpStatus() >= 500 || code == ErrorCode.LIMIT_EXCEEDED
				|| code == ErrorCode.IN_FLIGHT;
	}

}
