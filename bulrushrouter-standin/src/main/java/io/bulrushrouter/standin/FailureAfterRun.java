package io.bulrushrouter.standin;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Failures with which an upstream answers a request that it has run: any status, also
 * those by which others say that they have not run a request, and fields that suggest a
 * repetition. None of them says that the request has not run.
 */
public final class FailureAfterRun {

	/** The statuses of such answers. */
	public static final List<Integer> STATUSES = List.of(400, 404, 408, 409, 413, 425, 429, 431, 500, 501, 502, 503,
			504, 507);

	private static final List<String> FIELDS = List.of("", "Retry-After: 1\r\n", "Retry-After: 0.05\r\n",
			"Connection: close\r\n", "Warning: 199 - \"late\"\r\n");

	private FailureAfterRun() {
	}

	/**
	 * Encodes an answer.
	 * @param fields the fields that name the request and the upstream, each with its line
	 * end
	 * @param random chooses the status and other fields
	 * @return the answer
	 */
	public static String encode(String fields, RandomGenerator random) {
		int status = STATUSES.get(random.nextInt(STATUSES.size()));
		return "HTTP/1.1 " + status + " Failed\r\n" + fields + FIELDS.get(random.nextInt(FIELDS.size()))
				+ "Content-Length: 6\r\n\r\nfailed";
	}

}
