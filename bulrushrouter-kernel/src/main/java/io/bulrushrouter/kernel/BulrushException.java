package io.bulrushrouter.kernel;

import java.util.Objects;

/**
 * The unchecked exception of this project. Each one carries an {@link ErrorCode}.
 */
public class BulrushException extends RuntimeException {

	private final ErrorCode code;

	/**
	 * Creates an exception.
	 * @param code the kind of failure
	 * @param message a description for logs and operators
	 */
	public BulrushException(ErrorCode code, String message) {
		super(message);
		this.code = Objects.requireNonNull(code);
	}

	/**
	 * Creates an exception with a cause.
	 * @param code the kind of failure
	 * @param message a description for logs and operators
	 * @param cause the underlying failure
	 */
	public BulrushException(ErrorCode code, String message, Throwable cause) {
		super(message, cause);
		this.code = Objects.requireNonNull(code);
	}

	/**
	 * Returns the error code.
	 * @return the code
	 */
	public ErrorCode code() {
		return this.code;
	}

}
