package io.bulrushrouter.kernel;

/**
 * Identifies an upstream: one model runner or one process of a plain service.
 *
 * @param value the name, 1 to {@value Names#MAX_LENGTH} characters of
 * {@code [A-Za-z0-9._-]}
 */
public record UpstreamId(String value) implements Comparable<UpstreamId> {

	/**
	 * Creates an identifier.
	 * @throws BulrushException with {@link ErrorCode#BAD_NAME} if it is malformed
	 */
	public UpstreamId {
		Names.check("upstream", value);
	}

	/**
	 * Returns the identifier with the given name.
	 * @param value the name
	 * @return the identifier
	 * @throws BulrushException with {@link ErrorCode#BAD_NAME} if it is malformed
	 */
	public static UpstreamId of(String value) {
		return new UpstreamId(value);
	}

	@Override
	public int compareTo(UpstreamId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
