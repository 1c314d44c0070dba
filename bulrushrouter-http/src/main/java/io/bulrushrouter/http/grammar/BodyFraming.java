package io.bulrushrouter.http.grammar;

import java.util.Optional;

import io.netty.handler.codec.http.HttpMethod;

/**
 * What the head of a message says about its body.
 */
final class BodyFraming {

	private static final int NO_CONTENT = 204;

	private static final int NOT_MODIFIED = 304;

	private static final long NOT_STATED = -1;

	private HttpMethod requestMethod = HttpMethod.GET;

	private int status;

	private boolean version10;

	private long contentLength;

	private boolean chunked;

	void startMessage() {
		this.status = 0;
		this.version10 = false;
		this.contentLength = NOT_STATED;
		this.chunked = false;
	}

	void expectResponseTo(HttpMethod method) {
		this.requestMethod = method;
	}

	void version10(boolean is10) {
		this.version10 = is10;
	}

	void statusDigit(int digit) {
		this.status = 10 * this.status + digit;
	}

	boolean chunked() {
		return this.chunked;
	}

	long contentLength() {
		return this.contentLength;
	}

	/**
	 * Takes a field that frames the body.
	 * @param field the field
	 * @return what is malformed, or empty
	 */
	Optional<Violation> accept(FieldLine field) {
		if (!field.isContentLength()) {
			boolean valid = !this.chunked && !this.version10 && field.value().equalsIgnoreCase("chunked");
			this.chunked = true;
			return valid ? Optional.empty() : Optional.of(Violation.TRANSFER_CODING);
		}
		long before = this.contentLength;
		this.contentLength = number(field.value());
		return (before == NOT_STATED && this.contentLength >= 0) ? Optional.empty()
				: Optional.of(Violation.CONTENT_LENGTH);
	}

	// Returns a decimal number, or -1 if it is none or has more than 63 bits.
	private static long number(String text) {
		long number = text.isEmpty() ? -1 : 0;
		for (int index = 0; index < text.length() && number >= 0; index++) {
			int digit = text.charAt(index) - '0';
			boolean valid = digit >= 0 && digit <= 9 && number <= (Long.MAX_VALUE - digit) / 10;
			number = valid ? 10 * number + digit : -1;
		}
		return number;
	}

	/**
	 * Returns how the body of a request is framed.
	 * @return the framing
	 */
	Kind ofRequest() {
		Kind stated = stated();
		return (stated == Kind.TO_CLOSE) ? Kind.NONE : stated;
	}

	/**
	 * Returns how the body of a response is framed. What a response to HEAD or with
	 * status 304 says about a body is that of another response.
	 * @return the framing
	 */
	Kind ofResponse() {
		Kind stated = stated();
		boolean interim = this.status < 200;
		if (stated == Kind.LENGTH_AND_CODING) {
			return stated;
		}
		if (interim || this.status == NO_CONTENT) {
			boolean hasBody = stated == Kind.CHUNKS || stated == Kind.LENGTH;
			return hasBody ? Kind.NOT_ALLOWED : interim ? Kind.INTERIM : Kind.NONE;
		}
		return (this.status == NOT_MODIFIED || this.requestMethod.equals(HttpMethod.HEAD)) ? Kind.NONE : stated;
	}

	private Kind stated() {
		if (this.chunked) {
			return (this.contentLength == NOT_STATED) ? Kind.CHUNKS : Kind.LENGTH_AND_CODING;
		}
		if (this.contentLength == NOT_STATED) {
			return Kind.TO_CLOSE;
		}
		return (this.contentLength == 0) ? Kind.NONE : Kind.LENGTH;
	}

	/**
	 * How a body is framed.
	 */
	enum Kind {

		/** There is none. */
		NONE,

		/** There is none, and the final response follows. */
		INTERIM,

		/** It has a length. */
		LENGTH,

		/** It comes in chunks. */
		CHUNKS,

		/** It ends with the connection. */
		TO_CLOSE,

		/** Malformed: it has a length and comes in chunks. */
		LENGTH_AND_CODING,

		/** Malformed: there is to be none, and the head says otherwise. */
		NOT_ALLOWED

	}

}
