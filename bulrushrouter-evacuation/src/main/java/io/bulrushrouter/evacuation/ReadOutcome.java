package io.bulrushrouter.evacuation;

/**
 * The outcome of reading an object of type {@code T}.
 *
 * @param <T> the object's type
 */
public sealed interface ReadOutcome<T> {

	/**
	 * The object is there.
	 *
	 * @param object the object
	 * @param <T> the object's type
	 */
	record Found<T>(VersionedValue<T> object) implements ReadOutcome<T> {
	}

	/**
	 * There is no such object.
	 *
	 * @param <T> the object's type
	 */
	record Absent<T>() implements ReadOutcome<T> {
	}

	/**
	 * The store did not answer.
	 *
	 * @param reason details for a person
	 * @param <T> the object's type
	 */
	record Unavailable<T>(String reason) implements ReadOutcome<T> {
	}

}
