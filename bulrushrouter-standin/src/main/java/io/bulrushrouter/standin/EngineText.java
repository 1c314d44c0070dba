package io.bulrushrouter.standin;

import java.nio.charset.StandardCharsets;
import java.util.List;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Generates the deterministic text of a stand-in engine, so that a caller can verify that
 * it received its own complete answer. Token {@code i} is {@code PROMPT.i.SEED } where
 * {@code PROMPT} is a hash of the prompt and {@code SEED} a hash of the seed and
 * {@code i}.
 */
public final class EngineText {

	private static final int FINGERPRINT_LENGTH = 6;

	private EngineText() {
	}

	/**
	 * Returns the fingerprint of a prompt, which every token of its answer starts with.
	 * @param prompt the prompt
	 * @return the fingerprint
	 */
	public static String fingerprint(String prompt) {
		return toFixedLength(hash(prompt));
	}

	/**
	 * Returns one token of an answer.
	 * @param promptFingerprint the prompt's fingerprint
	 * @param index the index of the token, from 0
	 * @param seed the seed
	 * @return the token, with a trailing space
	 */
	public static String token(String promptFingerprint, int index, long seed) {
		return promptFingerprint + "." + index + "."
				+ toFixedLength(Hashing.wyhashFinal4().hashLongLongToLong(seed, index)) + " ";
	}

	/**
	 * Returns whether a text is the complete answer to a prompt.
	 * @param text the text
	 * @param prompt the prompt
	 * @param tokens the number of tokens requested
	 * @return whether it consists of exactly the requested tokens of this prompt, in
	 * order
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
