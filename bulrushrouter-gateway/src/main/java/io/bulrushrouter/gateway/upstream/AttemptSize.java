package io.bulrushrouter.gateway.upstream;

import io.bulrushrouter.gateway.config.RouteKind;

/**
 * The size of a request, by which its latency is compared with that of others.
 *
 * @param kind the kind of the request's route
 * @param promptTokens the tokens of the prompt, 0 if the request does not state them
 * @param bodyBytes the size of the body, in bytes
 */
public record AttemptSize(RouteKind kind, long promptTokens, int bodyBytes) {

	/** Classes of own requests in flight: none, one, two or three, more. */
	private static final int LOAD_CLASSES = 4;

	/** Classes of size, by powers of two up to 8 million tokens or bytes. */
	private static final int SIZE_CLASSES = 24;

	/** Kinds of routes, and streams that do not state the tokens of their prompt. */
	private static final int KINDS = 4;

	/** The number of classes of requests. */
	static final int CLASSES = KINDS * SIZE_CLASSES * LOAD_CLASSES;

	/**
	 * Returns the size of a request.
	 * @param kind the kind of the request's route
	 * @param tokenCounts the header with token counts, the prompt's first, or
	 * {@code null}
	 * @param bodyBytes the size of the body, in bytes
	 * @return the size
	 */
	public static AttemptSize of(RouteKind kind, String tokenCounts, int bodyBytes) {
		return new AttemptSize(kind, (tokenCounts != null) ? firstNumber(tokenCounts) : 0, bodyBytes);
	}

	private static long firstNumber(String text) {
		long number = 0;
		boolean found = false;
		for (int index = 0; index < text.length() && number < Integer.MAX_VALUE; index++) {
			char character = text.charAt(index);
			if (character >= '0' && character <= '9') {
				number = 10 * number + character - '0';
				found = true;
			}
			else if (found) {
				break;
			}
		}
		return number;
	}

	boolean stream() {
		return this.kind == RouteKind.STREAM;
	}

	/**
	 * Returns the class of requests with similar latencies.
	 * @param othersInFlight the entry's other requests in flight at the upstream, which
	 * make this one slower
	 * @return the class, from 0 to {@link #CLASSES}
	 */
	int requestClass(int othersInFlight) {
		boolean byTokens = this.promptTokens > 0;
		int kindIndex = (stream() && !byTokens) ? KINDS - 1 : this.kind.ordinal();
		long units = (stream() && byTokens) ? this.promptTokens : this.bodyBytes;
		int sizeClass = Math.min(SIZE_CLASSES - 1, Long.SIZE - Long.numberOfLeadingZeros(units));
		int loadClass = Math.min(LOAD_CLASSES - 1, Integer.SIZE - Integer.numberOfLeadingZeros(othersInFlight));
		return (kindIndex * SIZE_CLASSES + sizeClass) * LOAD_CLASSES + loadClass;
	}

}
