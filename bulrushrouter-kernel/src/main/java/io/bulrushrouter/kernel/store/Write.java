package io.bulrushrouter.kernel.store;

import java.util.Objects;

/**
 * A conditional write.
 *
 * @param key the object
 * @param expectedVersion the version that must be there now; {@link #ABSENT} if there
 * must be none
 * @param value the content, at most 1 MB
 * @param writeId the write's mark
 */
public record Write(ObjectKey key, long expectedVersion, byte[] value, WriteId writeId) {

	/** The expected version of an object that must not exist. */
	public static final long ABSENT = 0;

	/**
	 * Checks the parts.
	 */
	public Write {
		Objects.requireNonNull(key);
		Objects.requireNonNull(value);
		Objects.requireNonNull(writeId);
	}

	/**
	 * Returns a write that takes effect only if there is no such object.
	 * @param key the object
	 * @param value the content
	 * @param writeId the write's mark
	 * @return the write
	 */
	public static Write ofCreate(ObjectKey key, byte[] value, WriteId writeId) {
		return new Write(key, ABSENT, value, writeId);
	}

	/**
	 * Returns a write that takes effect only if the object is as it was read.
	 * @param read the object as it was read
	 * @param value the new content
	 * @param writeId the write's mark
	 * @return the write
	 */
	public static Write ofUpdate(VersionedObject read, byte[] value, WriteId writeId) {
		return new Write(read.key(), read.version(), value, writeId);
	}

}
