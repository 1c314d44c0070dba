package lab;

import java.util.LinkedHashMap;
import java.util.Map;

/** Finds the members of a JSON object as raw text. Enough for the bodies of the store. */
final class Json {

	private Json() {
	}

	/** Returns the members of the object in the text, each with its raw value. */
	static Map<String, String> members(String text) {
		Map<String, String> members = new LinkedHashMap<>();
		int at = skipSpace(text, 0);
		if (at >= text.length() || text.charAt(at) != '{') {
			return members;
		}
		at = skipSpace(text, at + 1);
		while (at < text.length() && text.charAt(at) == '"') {
			int keyEnd = endOfString(text, at);
			String key = text.substring(at + 1, keyEnd - 1);
			at = skipSpace(text, skipSpace(text, keyEnd) + 1);
			int valueEnd = endOfValue(text, at);
			members.put(key, text.substring(at, valueEnd).strip());
			at = skipSpace(text, valueEnd);
			if (at < text.length() && text.charAt(at) == ',') {
				at = skipSpace(text, at + 1);
			}
		}
		return members;
	}

	static String text(String raw) {
		return (raw != null && raw.length() >= 2 && raw.charAt(0) == '"') ? raw.substring(1, raw.length() - 1) : "";
	}

	private static int skipSpace(String text, int at) {
		while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
			at++;
		}
		return at;
	}

	private static int endOfString(String text, int at) {
		at++;
		while (text.charAt(at) != '"') {
			at += (text.charAt(at) == '\\') ? 2 : 1;
		}
		return at + 1;
	}

	private static int endOfValue(String text, int at) {
		int depth = 0;
		while (at < text.length()) {
			char each = text.charAt(at);
			if (each == '"') {
				at = endOfString(text, at);
				continue;
			}
			if (depth == 0 && (each == ',' || each == '}' || each == ']')) {
				return at;
			}
			if (each == '{' || each == '[') {
				depth++;
			}
			if (each == '}' || each == ']') {
				depth--;
			}
			at++;
		}
		return at;
	}

}
