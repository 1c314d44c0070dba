package io.bulrushrouter.http.grammar;

import io.netty.util.ByteProcessor;

/**
 * The classes of characters of the grammar.
 */
final class Characters {

	private static final byte DELETE = 0x7f;

	private static final boolean[] TOKEN = token();

	/** Finds the end of text. */
	static final ByteProcessor TEXT = Characters::isText;

	private Characters() {
	}

	private static boolean[] token() {
		boolean[] characters = new boolean[DELETE + 1];
		for (char character = ' ' + 1; character < DELETE; character++) {
			characters[character] = "\"(),/:;<=>?@[\\]{}".indexOf(character) < 0;
		}
		return characters;
	}

	/**
	 * Returns whether a character may be in a token, such as a method or a field name.
	 * @param character the character
	 * @return whether it may
	 */
	static boolean isToken(byte character) {
		return character > 0 && TOKEN[character];
	}

	/**
	 * Returns whether a character may be in text, such as a reason or a field value.
	 * @param character the character; one above 0x7f, which is text, is negative
	 * @return whether it may
	 */
	static boolean isText(byte character) {
		return character < 0 || character == '\t' || (character >= ' ' && character != DELETE);
	}

	static boolean isVisible(byte character) {
		return character > ' ' && character < DELETE;
	}

	static boolean isDigit(byte character) {
		return character >= '0' && character <= '9';
	}

}
