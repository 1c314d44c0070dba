package io.bulrushrouter.standin;

import java.util.List;
import java.util.Locale;
import java.util.random.RandomGenerator;

/**
 * The ways in which an upstream spoils a chunked response so that it is none in HTTP/1.1.
 * Each keeps the length of the whole plausible: a lenient reader finds a response.
 */
public enum ResponseDefect {

	/** A version that does not exist. */
	VERSION,

	/** A status of two or four digits. */
	STATUS_LENGTH,

	/** A status that HTTP does not define. */
	STATUS_RANGE,

	/** A field name with whitespace or a control character. */
	FIELD_NAME,

	/** A line without a colon. */
	FIELD_WITHOUT_COLON,

	/** A field value with a control character. */
	FIELD_VALUE,

	/** A field that is continued on a second line. */
	FOLDED_FIELD,

	/** A line that ends with a line feed alone. */
	LINE_FEED_IN_HEAD,

	/** A content length beside the transfer coding. */
	LENGTH_AND_CODING,

	/** Another transfer coding in front of the chunks. */
	OTHER_CODING,

	/** A chunk size that is no hexadecimal number. */
	CHUNK_SIZE,

	/** A chunk size that is right in its last 32 bits. */
	CHUNK_SIZE_OVERFLOW,

	/** A chunk with more bytes than its size says. */
	CHUNK_TOO_LONG,

	/** A chunk with fewer bytes than its size says. */
	CHUNK_TOO_SHORT,

	/** A chunk with no line end behind it. */
	CHUNK_WITHOUT_END,

	/** A chunk with a line feed alone behind it. */
	LINE_FEED_BEHIND_CHUNK,

	/** A trailer without a colon. */
	TRAILER;

	private static final String CODING = "Transfer-Encoding: chunked\r\n";

	private static final String FIRST_LINE_END = "\r\n";

	/**
	 * Returns one of the defects.
	 * @param random the source of the choice
	 * @return the defect
	 */
	public static ResponseDefect random(RandomGenerator random) {
		return values()[random.nextInt(values().length)];
	}

	/**
	 * Encodes a sound response in one of the forms that the grammar allows: with chunk
	 * extensions, trailers, leading zeros and digits in either case.
	 * @param head the status line and the fields, each with its line end
	 * @param chunks the parts of the body
	 * @param random the source of the choices
	 * @return the response
	 */
	public static String encodeSound(String head, List<String> chunks, RandomGenerator random) {
		StringBuilder response = new StringBuilder(head + CODING + "\r\n");
		for (String chunk : chunks) {
			String size = Integer.toHexString(chunk.length());
			String line = switch (random.nextInt(5)) {
				case 0 -> "00" + size;
				case 1 -> size.toUpperCase(Locale.ROOT);
				case 2 -> size + ";name=\"a value\"";
				case 3 -> size + " ; name";
				default -> size;
			};
			response.append(line).append("\r\n").append(chunk).append("\r\n");
		}
		return response.append(random.nextBoolean() ? "0\r\n" : "000;last\r\nDigest: a, b\r\n")
			.append("\r\n")
			.toString();
	}

	/**
	 * Encodes a response with this defect.
	 * @param head the status line and the fields, each with its line end
	 * @param chunks the parts of the body, at least one, each of two bytes or more
	 * @param random the source of the choices
	 * @return the malformed response
	 */
	public String encode(String head, List<String> chunks, RandomGenerator random) {
		int at = random.nextInt(chunks.size());
		StringBuilder response = new StringBuilder(spoilHead(head + CODING, random) + "\r\n");
		for (int index = 0; index < chunks.size(); index++) {
			response.append((index == at) ? spoilChunk(chunks.get(index), random) : chunk(chunks.get(index)));
		}
		return response.append("0\r\n").append((this == TRAILER) ? "Digest\r\n" : "").append("\r\n").toString();
	}

	private String spoilHead(String head, RandomGenerator random) {
		boolean either = random.nextBoolean();
		return switch (this) {
			case VERSION -> head.replaceFirst("HTTP/1.1", either ? "HTTP/1.7" : "HTTP/2.0");
			case STATUS_LENGTH -> head.replaceFirst(" (\\d\\d)\\d ", either ? " $1 " : " $100 ");
			case STATUS_RANGE -> head.replaceFirst(" \\d{3} ", either ? " 000 " : " 600 ");
			case FIELD_NAME -> head + (either ? "Some Name: a\r\n" : "Some\u0001Name: a\r\n");
			case FIELD_WITHOUT_COLON -> head + "Some-Name\r\n";
			case FIELD_VALUE -> head + (either ? "Some-Name: a\u0000b\r\n" : "Some-Name: a\rb\r\n");
			case FOLDED_FIELD -> head + (either ? "Some-Name: a\r\n b\r\n" : "Some-Name: a\r\n\tb\r\n");
			case LINE_FEED_IN_HEAD -> head.replaceFirst(FIRST_LINE_END, "\n");
			case LENGTH_AND_CODING -> head + "Content-Length: 5\r\n";
			case OTHER_CODING -> head.replace(CODING, either ? "Transfer-Encoding: gzip, chunked\r\n"
					: "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n");
			default -> head;
		};
	}

	private String spoilChunk(String chunk, RandomGenerator random) {
		int length = chunk.length();
		String size = Integer.toHexString(length);
		return switch (this) {
			case CHUNK_SIZE ->
				List.of("+" + size, "0x" + size, size + "g", "", size + " x", "-" + size).get(random.nextInt(6))
						+ "\r\n" + chunk + "\r\n";
			case CHUNK_SIZE_OVERFLOW -> "1" + String.format("%08x", length) + "\r\n" + chunk + "\r\n";
			case CHUNK_TOO_LONG ->
				Integer.toHexString(length - 1 - random.nextInt(length - 1)) + "\r\n" + chunk + "\r\n";
			case CHUNK_TOO_SHORT -> Integer.toHexString(length + 1 + random.nextInt(3)) + "\r\n" + chunk + "\r\n";
			case CHUNK_WITHOUT_END -> size + "\r\n" + chunk;
			case LINE_FEED_BEHIND_CHUNK -> size + "\r\n" + chunk + "\n";
			default -> chunk(chunk);
		};
	}

	private static String chunk(String chunk) {
		return Integer.toHexString(chunk.length()) + "\r\n" + chunk + "\r\n";
	}

}
