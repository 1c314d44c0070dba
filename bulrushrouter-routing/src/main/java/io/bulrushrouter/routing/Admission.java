package io.bulrushrouter.routing;

/**
 * The decision whether a request is within its organisation's limit.
 */
public sealed interface Admission {

	/**
	 * The request is admitted; its tokens were taken from the entry's quota.
	 */
	record Admitted() implements Admission {
	}

	/**
	 * The entry's quota is exhausted and more tokens are being requested. Retry the
	 * admission when a {@link QuotaGrant} arrives, at the latest after the given time.
	 *
	 * @param waitNanos the longest time before the retry, in nanoseconds
	 */
	record Pending(long waitNanos) implements Admission {
	}

	/**
	 * The organisation is over its limit; the request was not executed.
	 *
	 * @param retryAfterNanos the time after which the limit should allow the request, in
	 * nanoseconds; {@link Long#MAX_VALUE} if the request is too large ever to be admitted
	 */
	record Refused(long retryAfterNanos) implements Admission {
	}

}
