package io.bulrushrouter.http;

import java.time.Duration;

/**
 * The limits that a server places on its clients.
 *
 * @param maxLineBytes the maximum length of the request line, in bytes
 * @param maxHeaderBytes the maximum length of all headers together, in bytes
 * @param maxBodyBytes the maximum length of the body, in bytes
 * @param readTimeout the maximum time from the head of a request to its end
 * @param maxPendingBytes the maximum number of response bytes that may be pending for a
 * slow client
 */
public record HttpLimits(int maxLineBytes, int maxHeaderBytes, int maxBodyBytes, Duration readTimeout,
		int maxPendingBytes) {

	private static final int KIB = 1024;

	/**
	 * Returns the default limits: request lines of 8 KiB, headers of 32 KiB, bodies of 4
	 * MiB, 10 s to receive a request and 4 MiB of pending response bytes.
	 * @return the limits
	 */
	public static HttpLimits ofDefaults() {
		return new HttpLimits(8 * KIB, 32 * KIB, 4 * KIB * KIB, Duration.ofSeconds(10), 4 * KIB * KIB);
	}

	/**
	 * Returns a copy of these limits with another maximum body length.
	 * @param bytes the maximum length of the body, in bytes
	 * @return the limits
	 */
	public HttpLimits withMaxBodyBytes(int bytes) {
		return new HttpLimits(this.maxLineBytes, this.maxHeaderBytes, bytes, this.readTimeout, this.maxPendingBytes);
	}

	/**
	 * Returns a copy of these limits with another read timeout.
	 * @param timeout the maximum time from the head of a request to its end
	 * @return the limits
	 */
	public HttpLimits withReadTimeout(Duration timeout) {
		return new HttpLimits(this.maxLineBytes, this.maxHeaderBytes, this.maxBodyBytes, timeout, this.maxPendingBytes);
	}

}
