package io.bulrushrouter.launcher;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.bulrushrouter.gateway.source.FleetSource;
import io.bulrushrouter.gateway.source.HeaderNames;
import io.bulrushrouter.kernel.plugin.PluginRegistry;

/**
 * What a client sends. Each request stays within the limits of the configuration.
 *
 * @param name the name
 * @param bytes what is sent on each connection
 * @param whole whether the bytes end a request, so that the client sends them again after
 * a response
 * @param reads whether the client reads responses
 */
record ClientShape(String name, byte[] bytes, boolean whole, boolean reads) {

	/** The names of the headers that clients and upstreams use. */
	static final HeaderNames NAMES = PluginRegistry.ofClassPath()
		.require(FleetSource.Factory.class, "platform")
		.headers();

	private static final int HEAD_BYTES = 15_500;

	private static final int MAX_TARGET = 8_000;

	private static final int MAX_BODY_BYTES = 4_194_304;

	private static final String SHORT_LINES = "a:\r\n".repeat(HEAD_BYTES / 4);

	private static final String HOST = "Host: 127.0.0.1\r\n";

	private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";

	private static final String IDENTIFIER = NAMES.attemptId() + ": ";

	private static final String PROMPT_PARTS = NAMES.promptParts() + ": ";

	/** Stands for an identifier that no other request has. */
	private static final String UNIQUE = "@".repeat(16);

	/** Requests of ordinary clients. */
	static final ClientShape USUAL = whole("usual", get("/work/") + IDENTIFIER + UNIQUE + "\r\n\r\n");

	/** Heads of very many short lines that never end. */
	static final ClientShape UNFINISHED_HEAD = unfinished("unfinished-head", get("/work/") + SHORT_LINES);

	/** What clients send that do not behave. */
	static final List<ClientShape> MISBEHAVING = List.of(UNFINISHED_HEAD,
			unfinished("unfinished-long-line", get("/work/") + "a:" + "x".repeat(HEAD_BYTES)),
			unfinished("unfinished-trailers", post("/work/") + CHUNKED + "0\r\n" + SHORT_LINES),
			unfinished("first-byte", "G"), unfinished("nothing", ""),
			unfinished("expected-continue",
					post("/work/") + "Expect: 100-continue\r\nContent-Length: " + MAX_BODY_BYTES + "\r\n\r\n"),
			whole("whole-head", get("/work/") + SHORT_LINES + "\r\n"),
			whole("whole-head-silent-upstream", get("/silent/") + SHORT_LINES + "\r\n"),
			whole("whole-head-stream", post("/stream/") + SHORT_LINES + "\r\n"),
			whole("pipelined-heads", (get("/silent/") + SHORT_LINES + "\r\n").repeat(12)),
			whole("connection-names-fields", get("/work/") + connectionOfManyNames() + "\r\n"),
			whole("values-of-one-field", get("/work/") + (PROMPT_PARTS + "1:1\r\n").repeat(480) + "\r\n"),
			whole("long-list", get("/work/") + PROMPT_PARTS + "1:1" + ",1:1".repeat(3_800) + "\r\n\r\n"),
			whole("no-identifier", get("/work/") + "\r\n"),
			whole("repeated-identifier", get("/work/") + IDENTIFIER + "i\r\n\r\n"),
			whole("long-identifier", get("/none/") + IDENTIFIER + "i".repeat(HEAD_BYTES) + "\r\n\r\n"),
			whole("long-target",
					"GET /" + "t".repeat(MAX_TARGET) + " HTTP/1.1\r\nHost: " + "h".repeat(7_000) + "\r\n\r\n"),
			whole("empty-lines", "\r\n".repeat(7_000) + get("/work/") + "\r\n"),
			whole("chunks-of-one-byte", post("/work/") + CHUNKED + "1\r\nx\r\n".repeat(60_000) + "0\r\n\r\n"),
			whole("chunk-extensions",
					post("/work/") + CHUNKED + ("1;" + "e".repeat(4_000) + "\r\nx\r\n").repeat(60) + "0\r\n\r\n"),
			whole("large-bodies",
					post("/work/") + "Content-Length: " + MAX_BODY_BYTES + "\r\n\r\n" + "x".repeat(MAX_BODY_BYTES)),
			new ClientShape("responses-unread", latin1((get("/none/") + "\r\n").repeat(200)), true, false));

	private static ClientShape whole(String name, String text) {
		return new ClientShape(name, latin1(text), true, true);
	}

	private static ClientShape unfinished(String name, String text) {
		return new ClientShape(name, latin1(text), false, true);
	}

	private static String get(String path) {
		return "GET " + path + " HTTP/1.1\r\n" + HOST;
	}

	private static String post(String path) {
		return "POST " + path + " HTTP/1.1\r\n" + HOST;
	}

	// Each name takes its own line of seven bytes and five bytes of the list.
	private static String connectionOfManyNames() {
		List<String> names = IntStream.range(0, HEAD_BYTES / 12).mapToObj((index) -> "n" + (100 + index)).toList();
		return "Connection: " + String.join(",", names) + "\r\n"
				+ names.stream().map((name) -> name + ":\r\n").collect(Collectors.joining());
	}

	/**
	 * Returns what is sent next, with an identifier of its own where the shape has one.
	 * @param number the number of the request among all
	 * @return the bytes
	 */
	ByteBuffer next(long number) {
		int index = new String(this.bytes, 0, Math.min(this.bytes.length, 256), StandardCharsets.ISO_8859_1)
			.indexOf(UNIQUE);
		if (index < 0) {
			return ByteBuffer.wrap(this.bytes);
		}
		byte[] numbered = this.bytes.clone();
		byte[] identifier = latin1(String.format("%016x", number));
		System.arraycopy(identifier, 0, numbered, index, identifier.length);
		return ByteBuffer.wrap(numbered);
	}

	private static byte[] latin1(String text) {
		return text.getBytes(StandardCharsets.ISO_8859_1);
	}

	@Override
	public String toString() {
		return this.name;
	}

}
