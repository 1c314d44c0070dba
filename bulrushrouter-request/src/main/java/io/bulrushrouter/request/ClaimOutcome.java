package io.bulrushrouter.request;

/**
 * The outcome of a claim.
 */
public sealed interface ClaimOutcome {

	/**
	 * The attempt holds the key and may run.
	 */
	record Granted() implements ClaimOutcome {
	}

	/**
	 * The key was used for a different request; this one must not run.
	 */
	record KeyReused() implements ClaimOutcome {
	}

	/**
	 * Another attempt holds the key; this one must not run.
	 *
	 * @param recent whether the holder's attempt may still be running
	 */
	record Held(boolean recent) implements ClaimOutcome {
	}

	/**
	 * The platform's store could not be reached; this attempt must not run.
	 *
	 * @param retryAfterMillis when to retry, in milliseconds
	 */
	record Unavailable(long retryAfterMillis) implements ClaimOutcome {
	}

	/**
	 * The home did not answer; this attempt must not run, and another one may claim the
	 * key again.
	 */
	record Lost() implements ClaimOutcome {
	}

}
