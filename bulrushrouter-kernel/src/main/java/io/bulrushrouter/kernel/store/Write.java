package io.bulrushrouter.kernel.store;

import java.util.Objects;

/**
 * A conditional write.
 *
 * @param key the object
 * @param expectedVersion the version that must be there now; {@link #ABSENT} if there
 * must be none
 * @param value the content, at most 1 MB
 * @param writer the write's mark
 */
public record Write(ObjectKey key, long expectedVersion, byte[] value, WriterMark writer) {

	/** The expected version of an object that must not exist. */
	public static final long ABSENT = 0;

	/**
	 * Checks the parts.
	 */
	public Write {
		Objects.requireNonNull(key);
		Objects.requireNonNull(value);
		Objects.requireNonNull(writer);
	}

	/**
	 * Returns a write that takes effect only if there is no such object.
	 * @param key the object
	 * @param value the content
	 * @param writer the write's mark
	 * @return the write
	 */
	public static Write ofCreate(ObjectKey key, byte[] value, WriterMark writer) {
		return new Write(key, ABSENT, value, writer);
	}

	/**
	 * Returns a write that takes effect only if the object is as it was read.
	 * @param read the object as it was read
	 * @param value the new content
	 * @param writer the write's mark
	 * @return the write
	 */
	public static Write ofUpdate(Versioned read, byte[] value, WriterMark writer) {
		return new Write(read.key(), read.version(), value, writer);
	}

}
