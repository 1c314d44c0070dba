package io.bulrushrouter.launcher;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.classic.spi.StackTraceElementProxy;
import com.fasterxml.jackson.core.io.JsonStringEncoder;

/**
 * Formats a log event as a line of JSON. A message of {@code key=value} pairs becomes
 * fields; a quoted value may contain spaces.
 */
final class JsonLine {

	private static final int MAX_STACK_FRAMES = 12;

	/** Limit of the characters of a value, since callers choose some of them. */
	static final int MAX_VALUE_LENGTH = 1_024;

	private static final String CUT = "...";

	private JsonLine() {
	}

	static String of(ILoggingEvent event) {
		StringBuilder line = new StringBuilder(256);
		line.append("{\"time\":").append(event.getTimeStamp());
		line.append(",\"level\":\"").append(event.getLevel()).append('"');
		String message = event.getFormattedMessage();
		if (message.startsWith("event=")) {
			appendPairs(message, line);
		}
		else {
			appendField("logger", event.getLoggerName(), line);
			appendField("message", message, line);
		}
		if (event.getThrowableProxy() != null) {
			appendField("trace", formatTrace(event.getThrowableProxy()), line);
		}
		return line.append("}\n").toString();
	}

	private static void appendPairs(String message, StringBuilder line) {
		int index = 0;
		while (index < message.length()) {
			int equals = message.indexOf('=', index);
			if (equals < 0) {
				return;
			}
			String key = message.substring(index, equals);
			boolean quoted = equals + 1 < message.length() && message.charAt(equals + 1) == '"';
			int start = quoted ? equals + 2 : equals + 1;
			int end = quoted ? closingQuote(message, start) : endOfWord(message, start);
			appendField(key, message.substring(start, end), line);
			index = end + (quoted ? 2 : 1);
		}
	}

	// Finds the closing quote of a value: the next quote that is followed by a space or
	// by
	// the end of the message.
	private static int closingQuote(String message, int start) {
		int end = message.indexOf('"', start);
		while (end >= 0 && end + 1 < message.length() && message.charAt(end + 1) != ' ') {
			end = message.indexOf('"', end + 1);
		}
		return (end < 0) ? message.length() : end;
	}

	private static int endOfWord(String message, int start) {
		int end = message.indexOf(' ', start);
		return (end < 0) ? message.length() : end;
	}

	private static void appendField(String key, String value, StringBuilder line) {
		line.append(",\"").append(key).append("\":");
		if (isNumber(value)) {
			line.append(value);
			return;
		}
		line.append('"');
		boolean cut = value.length() > MAX_VALUE_LENGTH;
		JsonStringEncoder.getInstance().quoteAsString(cut ? value.substring(0, MAX_VALUE_LENGTH) : value, line);
		line.append(cut ? CUT : "").append('"');
	}

	private static boolean isNumber(String value) {
		if (value.isEmpty() || value.length() > 15 || (value.length() > 1 && value.charAt(0) == '0')) {
			return false;
		}
		for (int index = 0; index < value.length(); index++) {
			if (value.charAt(index) < '0' || value.charAt(index) > '9') {
				return false;
			}
		}
		return true;
	}

	private static String formatTrace(IThrowableProxy thrown) {
		StringBuilder trace = new StringBuilder(thrown.getClassName()).append(": ").append(thrown.getMessage());
		StackTraceElementProxy[] frames = thrown.getStackTraceElementProxyArray();
		for (int index = 0; index < Math.min(MAX_STACK_FRAMES, frames.length); index++) {
			trace.append(" | ").append(frames[index].getStackTraceElement());
		}
		return trace.toString();
	}

}
