package io.bulrushrouter.evacuation;

/**
 * The outcome of reading an object of type {@code T}.
 *
 * @param <T> the object's type
 */
public sealed interface ReadOutcome<T> {

	/**
	 * The object exists.
	 *
	 * @param object the object
	 * @param <T> the object's type
	 */
	record Found<T>(VersionedValue<T> object) implements ReadOutcome<T> {
	}

	/**
	 * The object does not exist.
	 *
	 * @param <T> the object's type
	 */
	record Absent<T>() implements ReadOutcome<T> {
	}

	/**
	 * The store did not respond.
	 *
	 * @param reason a description of the failure, for operators
	 * @param <T> the object's type
	 */
	record Unavailable<T>(String reason) implements ReadOutcome<T> {
	}

}
