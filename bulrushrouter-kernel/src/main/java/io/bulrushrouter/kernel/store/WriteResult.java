package io.bulrushrouter.kernel.store;

/**
 * The outcome of a conditional write.
 */
public sealed interface WriteResult {

	/**
	 * The write took effect.
	 *
	 * @param version the object's version now
	 */
	record Written(long version) implements WriteResult {
	}

	/**
	 * The write had no effect, since the object was not of the expected version.
	 */
	record Conflict() implements WriteResult {
	}

	/**
	 * The write had no effect, since the store refused it or was not reached.
	 *
	 * @param reason details for a person
	 */
	record Refused(String reason) implements WriteResult {
	}

	/**
	 * The answer was lost: the write may or may not have taken effect, now or later.
	 *
	 * @param reason details for a person
	 */
	record Unknown(String reason) implements WriteResult {
	}

}
