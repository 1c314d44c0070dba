package io.bulrushrouter.kernel.store;

/**
 * The outcome of a conditional write.
 */
public sealed interface WriteResult {

	/**
	 * The write took effect.
	 *
	 * @param version the new version of the object
	 */
	record Written(long version) implements WriteResult {
	}

	/**
	 * The write had no effect because the object did not have the expected version.
	 */
	record Conflict() implements WriteResult {
	}

	/**
	 * The write had no effect because the store refused it or could not be reached.
	 *
	 * @param reason a description for logs
	 */
	record Refused(String reason) implements WriteResult {
	}

	/**
	 * The response was lost: the write may have taken effect, may still do so, or may
	 * not.
	 *
	 * @param reason a description for logs
	 */
	record Unknown(String reason) implements WriteResult {
	}

}
