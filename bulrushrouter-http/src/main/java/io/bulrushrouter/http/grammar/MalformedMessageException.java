package io.bulrushrouter.http.grammar;

import io.netty.handler.codec.DecoderException;

/**
 * Thrown for bytes that are no HTTP/1.1 message.
 */
public final class MalformedMessageException extends DecoderException {

	private final Violation violation;

	private final long unverifiedBytes;

	/**
	 * Creates an exception.
	 * @param violation what is malformed
	 * @param unverifiedBytes the number of body bytes that were passed on before and
	 * belong to the malformed chunk
	 */
	MalformedMessageException(Violation violation, long unverifiedBytes) {
		super(violation.detail());
		this.violation = violation;
		this.unverifiedBytes = unverifiedBytes;
	}

	/**
	 * Returns what is malformed.
	 * @return the violation
	 */
	public Violation violation() {
		return this.violation;
	}

	/**
	 * Returns how much of the malformed chunk was passed on before.
	 * @return the number of body bytes, 0 if nothing else than chunks is malformed
	 */
	public long unverifiedBytes() {
		return this.unverifiedBytes;
	}

	// A peer can cause many of these, and the stack says nothing.
	@Override
	public synchronized Throwable fillInStackTrace() {
		return this;
	}

}
