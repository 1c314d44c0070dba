package io.bulrushrouter.routing;

import java.util.List;

/**
 * What came of offering a request to a {@link FairQueue}.
 *
 * @param accepted whether the offered request is queued
 * @param shed the requests that were shed, the offered one included if it was; none of
 * them ran
 * @param <T> the kind of request
 */
public record OfferResult<T>(boolean accepted, List<Shed<T>> shed) {

	/**
	 * A request that was shed.
	 *
	 * @param item the request
	 * @param retryAfterNanos when its organisation should find room, in nanoseconds
	 * @param <T> the kind of request
	 */
	public record Shed<T>(T item, long retryAfterNanos) {
	}

}
