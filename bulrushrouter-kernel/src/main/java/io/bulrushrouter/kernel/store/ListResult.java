package io.bulrushrouter.kernel.store;

import java.util.List;

/**
 * The outcome of listing objects.
 */
public sealed interface ListResult {

	/**
	 * The objects, by key.
	 *
	 * @param objects the objects
	 */
	record Listed(List<VersionedObject> objects) implements ListResult {
	}

	/**
	 * The store did not answer.
	 *
	 * @param reason details for a person
	 */
	record Unavailable(String reason) implements ListResult {
	}

}
