package io.bulrushrouter.http.grammar;

/**
 * The field line that is being scanned, of which only the fields are kept that frame a
 * body.
 */
final class FieldLine {

	private static final String CONTENT_LENGTH = "content-length";

	private static final String TRANSFER_ENCODING = "transfer-encoding";

	private static final int MAX_NAME_LENGTH = TRANSFER_ENCODING.length();

	/** Enough for a 63-bit number with leading zeros. */
	private static final int MAX_VALUE_LENGTH = 64;

	private final StringBuilder name = new StringBuilder(MAX_NAME_LENGTH + 1);

	private final StringBuilder value = new StringBuilder();

	private boolean framesBody;

	void begin() {
		this.name.setLength(0);
		this.value.setLength(0);
		this.framesBody = false;
	}

	void appendName(byte character) {
		if (this.name.length() <= MAX_NAME_LENGTH) {
			this.name.append((char) ((character >= 'A' && character <= 'Z') ? character | 0x20 : character));
		}
	}

	boolean nameEmpty() {
		return this.name.length() == 0;
	}

	void endName() {
		this.framesBody = isContentLength() || TRANSFER_ENCODING.contentEquals(this.name);
	}

	void appendValue(byte character) {
		if (this.framesBody && this.value.length() <= MAX_VALUE_LENGTH) {
			this.value.append((char) (character & 0xff));
		}
	}

	/**
	 * Returns whether the line says how the body is framed.
	 * @return whether it is a content length or a transfer coding
	 */
	boolean framesBody() {
		return this.framesBody;
	}

	boolean isContentLength() {
		return CONTENT_LENGTH.contentEquals(this.name);
	}

	/**
	 * Returns the value without the whitespace around it.
	 * @return the value, longer than any valid one if it was cut
	 */
	String value() {
		int from = 0;
		int to = this.value.length();
		while (from < to && whitespace(this.value.charAt(from))) {
			from++;
		}
		while (to > from && whitespace(this.value.charAt(to - 1))) {
			to--;
		}
		return this.value.substring(from, to);
	}

	private static boolean whitespace(char character) {
		return character == ' ' || character == '\t';
	}

}
