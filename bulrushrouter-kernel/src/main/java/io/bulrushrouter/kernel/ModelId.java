package io.bulrushrouter.kernel;

/**
 * Identifies a model, or a plain service, that upstreams serve.
 *
 * @param value the name, 1 to {@value Names#MAX_LENGTH} characters of
 * {@code [A-Za-z0-9._-]}
 */
public record ModelId(String value) implements Comparable<ModelId> {

	/**
	 * Creates an identifier.
	 * @throws BulrushException with {@link ErrorCode#BAD_NAME} if it is malformed
	 */
	public ModelId {
		Names.check("model", value);
	}

	/**
	 * Returns the identifier with the given name.
	 * @param value the name
	 * @return the identifier
	 * @throws BulrushException with {@link ErrorCode#BAD_NAME} if it is malformed
	 */
	public static ModelId of(String value) {
		return new ModelId(value);
	}

	@Override
	public int compareTo(ModelId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
