package io.bulrushrouter.launcher;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/**
 * A caller of the soak that sends requests on a connection which it keeps until the entry
 * closes it.
 */
final class SoakCaller implements AutoCloseable {

	/** Part of the path of all requests of the soak. */
	static final String PATH = "/soak-";

	/** Part of the identifier of requests that may run once. */
	static final String ONCE = "-once-";

	private static final String AGAIN = "-again-";

	private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

	private static final int TIMEOUT_MILLIS = 10_000;

	private static final AtomicLong NUMBERS = new AtomicLong();

	private final SoakEntry entry;

	private final SoakOutcomes outcomes;

	private final Thread thread = new Thread(this::run, "caller");

	private volatile boolean closing;

	SoakCaller(SoakEntry entry, SoakOutcomes outcomes) {
		this.entry = entry;
		this.outcomes = outcomes;
		this.thread.setDaemon(true);
		this.thread.start();
	}

	/**
	 * Returns the name of the entry to which a request was sent.
	 * @param id the identifier of the request
	 * @return the name
	 */
	static String entryOf(String id) {
		return id.replaceFirst("-.*", "");
	}

	static String field(String head, String name) {
		int start = head.indexOf("\r\n" + name + ": ");
		return (start < 0) ? "" : head.substring(start + name.length() + 4, head.indexOf('\r', start + 2));
	}

	private void run() {
		while (!this.closing) {
			try (Socket connection = this.entry.connect()) {
				connection.setTcpNoDelay(true);
				connection.setSoTimeout(TIMEOUT_MILLIS);
				boolean kept = true;
				for (long number = 0; kept && !this.closing; number++) {
					kept = call(connection, (number % 2 == 0) ? "once" : "again");
					LockSupport.parkNanos(PAUSE_NANOS);
				}
			}
			catch (IOException ex) {
				LockSupport.parkNanos(PAUSE_NANOS);
			}
		}
	}

	// Returns whether the connection is kept.
	private boolean call(Socket connection, String route) throws IOException {
		String id = this.entry.name() + (route.equals("once") ? ONCE : AGAIN) + NUMBERS.incrementAndGet();
		long sentNanos = System.nanoTime();
		Optional<Answer> answer = Optional.empty();
		try {
			answer = send(connection, route, id);
		}
		finally {
			if (answer.isEmpty() && !this.entry.brokenSince(sentNanos)) {
				this.outcomes.unanswered(id);
			}
		}
		answer.ifPresent((each) -> this.outcomes.answered(id, each.status(), each.head, each.body));
		return answer.filter((each) -> !field(each.head, "Connection").equalsIgnoreCase("close")).isPresent();
	}

	/**
	 * Sends a request.
	 * @param connection the connection
	 * @param route the route
	 * @param id the identifier
	 * @return the answer; empty if the connection ends before its end
	 * @throws IOException if the connection breaks
	 */
	static Optional<Answer> send(Socket connection, String route, String id) throws IOException {
		connection.getOutputStream()
			.write(("POST " + PATH + route + "/ HTTP/1.1\r\nHost: 127.0.0.1\r\n" + ClientShape.NAMES.attemptId() + ": "
					+ id + "\r\n" + ClientShape.NAMES.deadlineMillis() + ": 5000\r\nContent-Length: 2\r\n\r\n{}")
				.getBytes(StandardCharsets.ISO_8859_1));
		InputStream in = new BufferedInputStream(connection.getInputStream());
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = in.read();
			if (next < 0) {
				return Optional.empty();
			}
			head.append((char) next);
		}
		String length = field(canonical(head.toString()), "Content-Length");
		int expected = length.isEmpty() ? 0 : Integer.parseInt(length);
		byte[] body = in.readNBytes(expected);
		return (body.length < expected) ? Optional.empty()
				: Optional.of(new Answer(canonical(head.toString()), new String(body, StandardCharsets.ISO_8859_1)));
	}

	// Writes the names of fields of which either form is sent.
	private static String canonical(String head) {
		return head.replaceAll("(?i)\r\ncontent-length:", "\r\nContent-Length:")
			.replaceAll("(?i)\r\nconnection:", "\r\nConnection:");
	}

	@Override
	public void close() throws InterruptedException {
		this.closing = true;
		this.thread.join();
	}

	/**
	 * An answer.
	 *
	 * @param head the status line and the header fields
	 * @param body the body
	 */
	record Answer(String head, String body) {

		int status() {
			return Integer.parseInt(this.head.substring(9, 12));
		}

	}

}
