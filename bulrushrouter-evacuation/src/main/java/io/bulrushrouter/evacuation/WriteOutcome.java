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
	 * @param object the object as it was written, or a later version that contains the
	 * change
	 * @param <T> the object's type
	 */
	record Written<T>(VersionedValue<T> object) implements WriteOutcome<T> {
	}

	/**
	 * Another writer changed the object first, and this change had no effect.
	 *
	 * @param current the current object
	 * @param difference the differences made by the other writer, one line each
	 * @param <T> the object's type
	 */
	record Conflict<T>(VersionedValue<T> current, List<String> difference) implements WriteOutcome<T> {
	}

	/**
	 * The change had no effect, since the store could not be reached.
	 *
	 * @param reason a description of the failure, for operators
	 * @param <T> the object's type
	 */
	record Unavailable<T>(String reason) implements WriteOutcome<T> {
	}

	/**
	 * The response was lost and the store cannot be read: the change may have taken
	 * effect. It is safe to retry the same change, which takes effect at most once.
	 *
	 * @param reason a description of the failure, for operators
	 * @param <T> the object's type
	 */
	record Unknown<T>(String reason) implements WriteOutcome<T> {
	}

}
