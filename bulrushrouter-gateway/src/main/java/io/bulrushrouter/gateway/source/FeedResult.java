package io.bulrushrouter.gateway.source;

import java.util.List;
import java.util.Optional;

/**
 * The result of listing or watching a {@link Feed}.
 *
 * @param <T> the type that objects are decoded into
 */
public sealed interface FeedResult<T> {

	/**
	 * A snapshot of all objects.
	 *
	 * @param items the objects; one that cannot be decoded has no value
	 * @param revision the store's revision of the snapshot, which compares with others of
	 * the same era only
	 * @param era the number of times that the store was restored from a copy
	 * @param <T> the type that objects are decoded into
	 */
	record Listed<T>(List<Item<T>> items, long revision, long era) implements FeedResult<T> {
	}

	/**
	 * Changes since the requested revision.
	 *
	 * @param changes the changes, in order
	 * @param revision the store's revision to watch from next
	 * @param era the number of times that the store was restored from a copy
	 * @param <T> the type that objects are decoded into
	 */
	record Changed<T>(List<Item<T>> changes, long revision, long era) implements FeedResult<T> {
	}

	/**
	 * The changes since the requested revision cannot be had, so all objects are to be
	 * listed.
	 *
	 * @param reason the reason, for logs
	 * @param <T> the type that objects are decoded into
	 */
	record HistoryLost<T>(String reason) implements FeedResult<T> {
	}

	/**
	 * The store answered, but the answer exceeds the limit of the client. That says
	 * nothing against the store.
	 *
	 * @param reason the reason, for logs
	 * @param <T> the type that objects are decoded into
	 */
	record TooLarge<T>(String reason) implements FeedResult<T> {
	}

	/**
	 * The connection was lost after the call was sent, or silent until it timed out. That
	 * says nothing about the store.
	 *
	 * @param reason the reason, for logs
	 * @param <T> the type that objects are decoded into
	 */
	record Unanswered<T>(String reason) implements FeedResult<T> {
	}

	/**
	 * The store could not be reached, or refused the call.
	 *
	 * @param reason the reason, for logs
	 * @param <T> the type that objects are decoded into
	 */
	record Unavailable<T>(String reason) implements FeedResult<T> {
	}

	/**
	 * A current object, or the removal of one.
	 *
	 * @param name the object's name
	 * @param value the object, or empty if it was removed or cannot be decoded
	 * @param <T> the type that objects are decoded into
	 */
	record Item<T>(String name, Optional<T> value) {
	}

}
