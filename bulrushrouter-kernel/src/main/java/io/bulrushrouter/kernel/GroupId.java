package io.bulrushrouter.kernel;

/**
 * Identifies a rank group: engines that compute one expert-parallel model together.
 *
 * @param value the name, 1 to {@value Names#MAX_LENGTH} characters of
 * {@code [A-Za-z0-9._-]}
 */
public record GroupId(String value) implements Comparable<GroupId> {

	/**
	 * Creates an identifier.
	 * @throws BulrushException with {@link ErrorCode#BAD_NAME} if it is malformed
	 */
	public GroupId {
		Names.check("group", value);
	}

	/**
	 * Returns the identifier with the given name.
	 * @param value the name
	 * @return the identifier
	 * @throws BulrushException with {@link ErrorCode#BAD_NAME} if it is malformed
	 */
	public static GroupId of(String value) {
		return new GroupId(value);
	}

	@Override
	public int compareTo(GroupId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
