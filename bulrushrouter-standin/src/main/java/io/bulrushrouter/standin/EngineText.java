package io.bulrushrouter.standin;

import java.nio.charset.StandardCharsets;
import java.util.List;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * The text that the stand-in engine generates, so that a caller can check its own answer.
 * Token {@code i} is {@code PROMPT.i.SEED } with a hash of the prompt and one of the
 * seed.
 */
public final class EngineText {

	private static final int FINGERPRINT_LENGTH = 6;

	private EngineText() {
	}

	/**
	 * Returns the mark that all tokens of a prompt's answer carry.
	 * @param prompt the prompt
	 * @return the mark
	 */
	public static String fingerprint(String prompt) {
		return toFixedLength(hash(prompt));
	}

	/**
	 * Returns one token.
	 * @param promptFingerprint the prompt's mark
	 * @param index the token's number, from 0
	 * @param seed the seed
	 * @return the token, with a space at its end
	 */
	public static String token(String promptFingerprint, int index, long seed) {
		return promptFingerprint + "." + index + "."
				+ toFixedLength(Hashing.wyhashFinal4().hashLongLongToLong(seed, index)) + " ";
	}

	/**
	 * Tells whether a text is the whole answer to a prompt.
	 * @param text the text
	 * @param prompt the prompt
	 * @param tokens how many tokens were asked for
	 * @return whether it has exactly the tokens, in order, all of this prompt
	 */
	public static boolean isComplete(String text, String prompt, int tokens) {
		List<String> parts = List.of(text.strip().split(" "));
		if (parts.size() != tokens) {
			return false;
		}
		String fingerprint = fingerprint(prompt);
		for (int i = 0; i < tokens; i++) {
			if (!parts.get(i).startsWith(fingerprint + "." + i + ".")) {
				return false;
			}
		}
		return true;
	}

	static long hash(String text) {
		return Hashing.wyhashFinal4().hashBytesToLong(text.getBytes(StandardCharsets.UTF_8));
	}

	private static String toFixedLength(long hash) {
		String digits = Long.toUnsignedString(hash, Character.MAX_RADIX);
		return "0".repeat(Math.max(0, FINGERPRINT_LENGTH - digits.length()))
				+ digits.substring(Math.max(0, digits.length() - FINGERPRINT_LENGTH));
	}

}
