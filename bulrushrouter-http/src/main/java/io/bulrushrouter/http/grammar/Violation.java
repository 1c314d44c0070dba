package io.bulrushrouter.http.grammar;

import java.util.Locale;

/**
 * The ways in which bytes are no HTTP/1.1 message.
 */
public enum Violation {

	/** The request line is not a method, a target and a version. */
	REQUEST_LINE("the request line is malformed"),

	/** The status line is not a version, a status from 100 to 599 and a reason. */
	STATUS_LINE("the status line is malformed"),

	/** The name of a field is empty, no token, or not followed by a colon. */
	FIELD_NAME("a field name is malformed"),

	/** The value of a field contains a control character. */
	FIELD_VALUE("a field value contains a control character"),

	/** A field is folded over several lines. */
	FOLDED_FIELD("a field is folded over several lines"),

	/** A line does not end with a carriage return and a line feed. */
	LINE_END("a line does not end with CRLF"),

	/** The content length is not one number of 63 bits. */
	CONTENT_LENGTH("the content length is not a single number"),

	/** The transfer coding is not chunked alone. */
	TRANSFER_CODING("the transfer coding is not supported"),

	/** The message has both a content length and a transfer coding. */
	LENGTH_AND_CODING("the message has both a content length and a transfer coding"),

	/** A response that has no body says that it has one. */
	BODY_NOT_ALLOWED("a response without a body has a length or a transfer coding"),

	/** The size of a chunk is not a hexadecimal number of 31 bits. */
	CHUNK_SIZE("the size of a chunk is malformed"),

	/** No line end follows the bytes of a chunk. */
	CHUNK_END("a chunk is longer or shorter than its size");

	private final String detail;

	Violation(String detail) {
		this.detail = detail;
	}

	/**
	 * Returns a description for logs and error responses.
	 * @return the description
	 */
	public String detail() {
		return this.detail;
	}

	/**
	 * Returns the name for metrics, such as {@code chunk-end}.
	 * @return the name in lower case
	 */
	public String text() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
