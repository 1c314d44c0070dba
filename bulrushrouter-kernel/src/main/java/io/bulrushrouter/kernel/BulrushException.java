package io.bulrushrouter.kernel;

import java.util.Objects;

/**
 * The project's unchecked exception: every failure carries an {@link ErrorCode}.
 */
public class BulrushException extends RuntimeException {

	private final ErrorCode code;

	/**
	 * Creates an exception.
	 * @param code what went wrong
	 * @param message details for a person
	 */
	public BulrushException(ErrorCode code, String message) {
		super(message);
		this.code = Objects.requireNonNull(code);
	}

	/**
	 * Creates an exception with a cause.
	 * @param code what went wrong
	 * @param message details for a person
	 * @param cause the underlying failure
	 */
	public BulrushException(ErrorCode code, String message, Throwable cause) {
		super(message, cause);
		this.code = Objects.requireNonNull(code);
	}

	/**
	 * Returns the stable code of the failure.
	 * @return the code
	 */
	public ErrorCode code() {
		return this.code;
	}

}
