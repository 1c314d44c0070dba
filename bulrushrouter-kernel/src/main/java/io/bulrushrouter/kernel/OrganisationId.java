package io.bulrushrouter.kernel;

/**
 * Identifies an organisation whose callers send requests.
 *
 * @param value the name, 1 to {@value Names#MAX_LENGTH} characters of
 * {@code [A-Za-z0-9._-]}
 */
public record OrganisationId(String value) implements Comparable<OrganisationId> {

	/**
	 * Creates an identifier.
	 * @throws BulrushException with {@link ErrorCode#BAD_NAME} if it is malformed
	 */
	public OrganisationId {
		Names.check("organisation", value);
	}

	/**
	 * Returns the identifier with the given name.
	 * @param value the name
	 * @return the identifier
	 * @throws BulrushException with {@link ErrorCode#BAD_NAME} if it is malformed
	 */
	public static OrganisationId of(String value) {
		return new OrganisationId(value);
	}

	/**
	 * Returns whether a name can be an identifier.
	 * @param value the name
	 * @return whether it is well-formed
	 */
	public static boolean isValid(String value) {
		return Names.isValid(value);
	}

	@Override
	public int compareTo(OrganisationId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
