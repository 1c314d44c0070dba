package io.bulrushrouter.kernel;

/**
 * Identifies a data centre that contains instances.
 *
 * @param value the name, 1 to {@value Names#MAX_LENGTH} characters of
 * {@code [A-Za-z0-9._-]}
 */
public record DataCentreId(String value) implements Comparable<DataCentreId> {

	/**
	 * Creates an identifier.
	 * @throws BulrushException with {@link ErrorCode#BAD_NAME} if it is malformed
	 */
	public DataCentreId {
		Names.check("data centre", value);
	}

	/**
	 * Returns the identifier with the given name.
	 * @param value the name
	 * @return the identifier
	 * @throws BulrushException with {@link ErrorCode#BAD_NAME} if it is malformed
	 */
	public static DataCentreId of(String value) {
		return new DataCentreId(value);
	}

	@Override
	public int compareTo(DataCentreId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
