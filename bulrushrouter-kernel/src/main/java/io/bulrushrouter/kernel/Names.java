package io.bulrushrouter.kernel;

/**
 * Validates the names that serve as identifiers.
 */
final class Names {

	/** The maximum length of a name, in characters. */
	static final int MAX_LENGTH = 128;

	private Names() {
	}

	static void check(String kind, String value) {
		if (!isValid(value)) {
			throw new BulrushException(ErrorCode.BAD_NAME, "not a valid " + kind + " name: " + value);
		}
	}

	static boolean isValid(String value) {
		if (value == null || value.isEmpty() || value.length() > MAX_LENGTH) {
			return false;
		}
		// A stream would load some 20 ms of classes into an entry that starts on 0.15 of
		// a
		// core.
		for (int index = 0; index < value.length(); index++) {
			if (!isAllowed(value.charAt(index))) {
				return false;
			}
		}
		return true;
	}

	private static boolean isAllowed(int character) {
		return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
				|| (character >= '0' && character <= '9') || character == '.' || character == '_' || character == '-';
	}

}
