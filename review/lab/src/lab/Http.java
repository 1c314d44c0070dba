package lab;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a blocking stream. */
final class Http {

	private Http() {
	}

	/** A message: its first line, its headers by name in lower case, its body. */
	record Message(String firstLine, Map<String, String> headers, byte[] body) {

		String method() {
			return firstLine().split(" ")[0];
		}

		String target() {
			return firstLine().split(" ")[1];
		}

		int status() {
			return Integer.parseInt(firstLine().split(" ")[1]);
		}

		String header(String name) {
			return headers().get(name.toLowerCase(Locale.ROOT));
		}

	}

	/** Returns the next message, or null if the stream ended before it began. */
	static Message read(InputStream in) throws IOException {
		String first = line(in);
		if (first == null) {
			return null;
		}
		Map<String, String> headers = new TreeMap<>();
		String line = line(in);
		while (line != null && !line.isEmpty()) {
			int colon = line.indexOf(':');
			headers.merge(line.substring(0, colon).strip().toLowerCase(Locale.ROOT), line.substring(colon + 1).strip(),
					(one, other) -> one + "," + other);
			line = line(in);
		}
		if (line == null) {
			throw new IOException("ended in a head");
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
			int size;
			do {
				size = Integer.parseInt(line(in).split(";")[0].strip(), 16);
				copy(in, body, size);
				line(in);
			}
			while (size > 0);
		}
		else {
			copy(in, body, Integer.parseInt(headers.getOrDefault("content-length", "0")));
		}
		return new Message(first, headers, body.toByteArray());
	}

	private static void copy(InputStream in, ByteArrayOutputStream body, int size) throws IOException {
		byte[] part = in.readNBytes(size);
		if (part.length < size) {
			throw new IOException("ended in a body, after " + part.length + " bytes of " + size);
		}
		body.write(part, 0, part.length);
	}

	private static String line(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		int each = in.read();
		if (each < 0) {
			return null;
		}
		while (each >= 0 && each != '\n') {
			line.write(each);
			each = in.read();
		}
		if (each < 0) {
			throw new IOException("ended in a line");
		}
		String text = line.toString(StandardCharsets.ISO_8859_1);
		return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
	}

}
