package io.bulrushrouter.gateway.forward;

import io.netty.buffer.ByteBuf;

/**
 * Finds whitespace in the header names of a response as its bytes arrive. The decoder
 * ends the name there and skips what follows up to a colon, which may be the status line
 * of another response.
 */
final class HeaderNameScanner {

	private boolean inHead;

	private boolean informational;

	private Part part;

	private int lineLength;

	HeaderNameScanner() {
		startResponse();
	}

	/**
	 * Expects the head of another response.
	 */
	void startResponse() {
		this.inHead = true;
		this.informational = false;
		this.part = Part.VERSION;
		this.lineLength = 0;
	}

	/**
	 * Scans bytes as they arrive.
	 * @param bytes the bytes, which stay unread
	 * @return whether a header name with whitespace is among them
	 */
	boolean findsWhitespace(ByteBuf bytes) {
		return this.inHead && bytes.forEachByte(this::accept) >= 0 && this.inHead;
	}

	// Returns whether to scan the next byte.
	private boolean accept(byte value) {
		if (value == '\n') {
			endLine();
			return this.inHead;
		}
		if (value == '\r') {
			return true;
		}
		boolean whitespace = value == ' ' || value == '\t';
		boolean lineBegins = this.lineLength == 0;
		this.lineLength++;
		switch (this.part) {
			case VERSION -> {
				if (whitespace && !lineBegins) {
					this.part = Part.STATUS;
				}
			}
			case STATUS -> {
				this.informational = (value == '1');
				this.part = whitespace ? Part.STATUS : Part.REST;
			}
			case NAME -> {
				// A line that begins with whitespace continues the one before.
				if (whitespace && !lineBegins) {
					return false;
				}
				this.part = (whitespace || value == ':') ? Part.REST : Part.NAME;
			}
			case REST -> {
			}
		}
		return true;
	}

	private void endLine() {
		if (this.lineLength > 0) {
			this.part = Part.NAME;
			this.lineLength = 0;
		}
		else if (this.part == Part.NAME) {
			this.inHead = this.informational;
			this.informational = false;
			this.part = Part.VERSION;
		}
	}

	/**
	 * The part of a line that is scanned.
	 */
	private enum Part {

		VERSION, STATUS, NAME,

		/** What follows the first digit of the status, or a name. */
		REST

	}

}
