package io.bulrushrouter.evacuation;

import java.util.List;

/**
 * The outcome of changing an object of type {@code T} by a conditional update.
 *
 * @param <T> the object's type
 */
public sealed interface WriteOutcome<T> {

	/**
	 * The change took effect.
	 *
	 * @param object the object as it was written, or a later version that holds the
	 * change
	 * @param <T> the object's type
	 */
	record Written<T>(VersionedValue<T> object) implements WriteOutcome<T> {
	}

	/**
	 * Somebody else changed the object first, and this change had no effect.
	 *
	 * @param current the object as it is now
	 * @param difference what the other changed, one line each
	 * @param <T> the object's type
	 */
	record Conflict<T>(VersionedValue<T> current, List<String> difference) implements WriteOutcome<T> {
	}

	/**
	 * The change had no effect, since the store was not reached.
	 *
	 * @param reason details for a person
	 * @param <T> the object's type
	 */
	record Unavailable<T>(String reason) implements WriteOutcome<T> {
	}

	/**
	 * The answer was lost and the store cannot be read: the change may have taken effect.
	 * The same change may be sent again; it takes effect once.
	 *
	 * @param reason details for a person
	 * @param <T> the object's type
	 */
	record Unknown<T>(String reason) implements WriteOutcome<T> {
	}

}
