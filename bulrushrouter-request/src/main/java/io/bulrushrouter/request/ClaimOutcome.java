package io.bulrushrouter.request;

/**
 * What was decided about a claim.
 */
public sealed interface ClaimOutcome {

	/**
	 * The attempt holds the key and may run.
	 */
	record Granted() implements ClaimOutcome {
	}

	/**
	 * The key was used with another request; this one may not run.
	 */
	record KeyReused() implements ClaimOutcome {
	}

	/**
	 * Another attempt holds the key; this one may not run.
	 *
	 * @param recent whether the holder's attempt may still be running
	 */
	record Held(boolean recent) implements ClaimOutcome {
	}

	/**
	 * The platform could not be asked; this attempt may not run.
	 *
	 * @param retryAfterMillis when to come back, in milliseconds
	 */
	record Unavailable(long retryAfterMillis) implements ClaimOutcome {
	}

	/**
	 * The sidecar that was asked did not answer; this attempt may not run, and another
	 * one may ask again.
	 */
	record Lost() implements ClaimOutcome {
	}

}
