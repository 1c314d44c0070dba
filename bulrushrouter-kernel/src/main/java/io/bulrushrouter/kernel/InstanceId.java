package io.bulrushrouter.kernel;

/**
 * Identifies an instance: one machine that runs processes.
 *
 * @param value the name, 1 to {@value Names#MAX_LENGTH} characters of
 * {@code [A-Za-z0-9._-]}
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

	/**
	 * Creates an identifier.
	 * @throws BulrushException with {@link ErrorCode#BAD_NAME} if it is malformed
	 */
	public InstanceId {
		Names.check("instance", value);
	}

	/**
	 * Returns the identifier with the given name.
	 * @param value the name
	 * @return the identifier
	 * @throws BulrushException with {@link ErrorCode#BAD_NAME} if it is malformed
	 */
	public static InstanceId of(String value) {
		return new InstanceId(value);
	}

	@Override
	public int compareTo(InstanceId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
