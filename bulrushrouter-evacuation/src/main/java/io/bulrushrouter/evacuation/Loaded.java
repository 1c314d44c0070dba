package io.bulrushrouter.evacuation;

/**
 * The outcome of reading an object of type {@code T}.
 *
 * @param <T> the object's type
 */
public sealed interface Loaded<T> {

	/**
	 * The object is there.
	 *
	 * @param stored the object
	 * @param <T> the object's type
	 */
	record Found<T>(Stored<T> stored) implements Loaded<T> {
	}

	/**
	 * There is no such object.
	 *
	 * @param <T> the object's type
	 */
	record Absent<T>() implements Loaded<T> {
	}

	/**
	 * The store did not answer.
	 *
	 * @param reason details for a person
	 * @param <T> the object's type
	 */
	record Unavailable<T>(String reason) implements Loaded<T> {
	}

}
