import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in of a requester: sends one request on a channel of its own. */
final class Requester {

	private static final AtomicLong LAST = new AtomicLong(0x9c41d07be2a30000L);

	/**
	 * What came back.
	 *
	 * @param attempt the identifier of the attempt
	 * @param status the status, or 0 if the channel ended without a whole answer
	 * @param stamped whether the answer bears the stamp of a runner
	 */
	record Answer(String attempt, int status, boolean stamped) {
	}

	private Requester() {
	}

	static Answer send(InetSocketAddress entry, String method, String path, String body, int limitMillis) {
		return send(entry, method, path, Manifest.KEY, body, limitMillis);
	}

	static Answer send(InetSocketAddress entry, String method, String path, String key, String body,
			int limitMillis) {
		String attempt = Long.toHexString(LAST.incrementAndGet());
		try (Socket channel = new Socket()) {
			channel.connect(entry, 1_000);
			channel.setSoTimeout(limitMillis + 500);
			channel.getOutputStream()
				.write((method + " " + path + " HTTP/1.1\r\nHost: " + Manifest.HOST + "\r\nBulrushrouter-Attempt-Id: "
						+ attempt + "\r\nBulrushrouter-Deadline-Ms: " + limitMillis
						+ (key.isEmpty() ? "" : "\r\nBulrushrouter-Key: " + key) + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
					.getBytes(StandardCharsets.ISO_8859_1));
			InputStream in = new BufferedInputStream(channel.getInputStream());
			Map<String, String> head = AppServer.readHead(in);
			if (head == null) {
				return new Answer(attempt, 0, false);
			}
			int length = Integer.parseInt(head.getOrDefault("content-length", "0"));
			boolean whole = in.readNBytes(length).length == length;
			int status = whole ? Integer.parseInt(head.get("").split(" ")[1]) : 0;
			return new Answer(attempt, status, head.containsKey("bulrushrouter-server-stamp"));
		}
		catch (IOException | RuntimeException ex) {
			return new Answer(attempt, 0, false);
		}
	}

}
