package io.bulrushrouter.kernel.store;

/**
 * The outcome of a read or a watch.
 */
public sealed interface ReadResult {

	/**
	 * The object is there.
	 *
	 * @param object the object
	 */
	record Found(VersionedObject object) implements ReadResult {
	}

	/**
	 * There is no such object, or, for a watch, none of a higher version in time.
	 */
	record Absent() implements ReadResult {
	}

	/**
	 * The store did not answer.
	 *
	 * @param reason details for a person
	 */
	record Unavailable(String reason) implements ReadResult {
	}

}
