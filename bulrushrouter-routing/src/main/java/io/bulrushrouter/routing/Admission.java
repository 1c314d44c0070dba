package io.bulrushrouter.routing;

/**
 * Whether an organisation's request is within its limit.
 */
public sealed interface Admission {

	/**
	 * The request may go on; its tokens are taken from the entry's share.
	 */
	record Admitted() implements Admission {
	}

	/**
	 * The entry's share is used up, and more was asked for: ask again when a
	 * {@link QuotaGrant} comes, at the latest after the given time.
	 *
	 * @param waitNanos how long to wait, in nanoseconds
	 */
	record Pending(long waitNanos) implements Admission {
	}

	/**
	 * The organisation is over its limit; the request did not run.
	 *
	 * @param retryAfterNanos when the limit should allow it, in nanoseconds from now
	 */
	record Refused(long retryAfterNanos) implements Admission {
	}

}
