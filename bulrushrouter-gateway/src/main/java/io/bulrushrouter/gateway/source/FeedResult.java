package io.bulrushrouter.gateway.source;

import java.util.List;
import java.util.Optional;

/**
 * What came of reading or watching a {@link Feed}.
 *
 * @param <T> what an object is decoded into
 */
public sealed interface FeedResult<T> {

	/**
	 * All objects.
	 *
	 * @param items the objects; those that cannot be decoded are left out
	 * @param revision the store's revision that they are of
	 * @param <T> what an object is decoded into
	 */
	record Listed<T>(List<Item<T>> items, long revision) implements FeedResult<T> {
	}

	/**
	 * What changed, in order.
	 *
	 * @param changes the changes
	 * @param revision the store's revision to go on from
	 * @param <T> what an object is decoded into
	 */
	record Changed<T>(List<Item<T>> changes, long revision) implements FeedResult<T> {
	}

	/**
	 * The store no longer has the changes since that revision.
	 *
	 * @param <T> what an object is decoded into
	 */
	record HistoryLost<T>() implements FeedResult<T> {
	}

	/**
	 * The store did not answer, or refused.
	 *
	 * @param reason details for a person
	 * @param <T> what an object is decoded into
	 */
	record Unavailable<T>(String reason) implements FeedResult<T> {
	}

	/**
	 * An object or its removal.
	 *
	 * @param name the object's name
	 * @param value the object, or empty if it was removed or cannot be decoded
	 * @param <T> what an object is decoded into
	 */
	record Item<T>(String name, Optional<T> value) {
	}

}
