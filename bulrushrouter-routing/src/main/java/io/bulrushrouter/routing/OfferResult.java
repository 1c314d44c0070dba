package io.bulrushrouter.routing;

import java.util.List;

/**
 * The result of offering a request to a {@link FairQueue}.
 *
 * @param accepted whether the offered request is queued
 * @param shed the requests that were shed, which may include the offered one; none of
 * them ran
 * @param <T> the type of the request
 */
public record OfferResult<T>(boolean accepted, List<Shed<T>> shed) {

	/**
	 * A request that was shed.
	 *
	 * @param item the request
	 * @param retryAfterNanos the time after which the queue should have room for its
	 * organisation, in nanoseconds; 0 if unknown
	 * @param <T> the type of the request
	 */
	public record Shed<T>(T item, long retryAfterNanos) {
	}

}
