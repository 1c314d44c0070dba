package io.bulrushrouter.kernel.store;

import java.util.List;

/**
 * The outcome of listing objects.
 */
public sealed interface ListResult {

	/**
	 * The store returned the objects.
	 *
	 * @param objects the objects
	 */
	record Listed(List<VersionedObject> objects) implements ListResult {
	}

	/**
	 * The store returned no valid response.
	 *
	 * @param reason a description for logs
	 */
	record Unavailable(String reason) implements ListResult {
	}

}
