package io.bulrushrouter.kernel.store;

/**
 * The outcome of a read or a watch.
 */
public sealed interface ReadResult {

	/**
	 * The object exists.
	 *
	 * @param object the object
	 */
	record Found(VersionedObject object) implements ReadResult {
	}

	/**
	 * The object does not exist; for a watch: no higher version appeared in time.
	 */
	record Absent() implements ReadResult {
	}

	/**
	 * The store returned no valid response.
	 *
	 * @param reason a description for logs
	 */
	record Unavailable(String reason) implements ReadResult {
	}

}
