package io.bulrushrouter.kernel.store;

import java.util.Objects;

/**
 * A conditional write.
 *
 * @param key the key of the object
 * @param expectedVersion the version that the object must have; {@link #ABSENT} if it
 * must not exist
 * @param value the content, at most 1 MB
 * @param writeId the identifier of the write
 */
public record Write(ObjectKey key, long expectedVersion, byte[] value, WriteId writeId) {

	/** The expected version of an object that must not exist. */
	public static final long ABSENT = 0;

	/**
	 * Creates a conditional write.
	 */
	public Write {
		Objects.requireNonNull(key);
		Objects.requireNonNull(value);
		Objects.requireNonNull(writeId);
	}

	/**
	 * Returns a write that takes effect only if the object does not exist.
	 * @param key the key of the object
	 * @param value the content
	 * @param writeId the identifier of the write
	 * @return the write
	 */
	public static Write ofCreate(ObjectKey key, byte[] value, WriteId writeId) {
		return new Write(key, ABSENT, value, writeId);
	}

	/**
	 * Returns a write that takes effect only if the object has not changed since it was
	 * read.
	 * @param read the object as it was read
	 * @param value the new content
	 * @param writeId the identifier of the write
	 * @return the write
	 */
	public static Write ofUpdate(VersionedObject read, byte[] value, WriteId writeId) {
		return new Write(read.key(), read.version(), value, writeId);
	}

}
