package io.bulrushrouter.http;

import java.time.Duration;

/**
 * What a caller may take of a server.
 *
 * @param maxLineBytes the longest request line
 * @param maxHeaderBytes the longest headers together
 * @param maxBodyBytes the longest body
 * @param readTimeout how long a request may take to arrive
 * @param maxPendingBytes the most answer bytes that wait for a slow reader
 */
public record HttpLimits(int maxLineBytes, int maxHeaderBytes, int maxBodyBytes, Duration readTimeout,
		int maxPendingBytes) {

	private static final int KIB = 1024;

	/**
	 * Returns the usual limits: 8 KiB lines, 32 KiB headers, 4 MiB bodies, 10 s to arrive
	 * and 4 MiB that wait.
	 * @return the limits
	 */
	public static HttpLimits ofDefaults() {
		return new HttpLimits(8 * KIB, 32 * KIB, 4 * KIB * KIB, Duration.ofSeconds(10), 4 * KIB * KIB);
	}

	/**
	 * Returns the same limits but for the body.
	 * @param bytes the longest body
	 * @return the limits
	 */
	public HttpLimits withMaxBodyBytes(int bytes) {
		return new HttpLimits(this.maxLineBytes, this.maxHeaderBytes, bytes, this.readTimeout, this.maxPendingBytes);
	}

	/**
	 * Returns the same limits but for the time to arrive.
	 * @param timeout how long a request may take to arrive
	 * @return the limits
	 */
	public HttpLimits withReadTimeout(Duration timeout) {
		return new HttpLimits(this.maxLineBytes, this.maxHeaderBytes, this.maxBodyBytes, timeout, this.maxPendingBytes);
	}

}
