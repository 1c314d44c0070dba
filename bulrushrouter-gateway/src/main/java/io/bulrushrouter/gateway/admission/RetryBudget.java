package io.bulrushrouter.gateway.admission;

import java.util.concurrent.TimeUnit;

/**
 * Bounds the further attempts that this entry sends to one service in any window: a share
 * of its own requests of that window and a fixed number. Since every entry keeps to a
 * share of its own requests, all of them together keep to that share of all requests
 * without talking to each other. Not thread-safe.
 */
public final class RetryBudget {

	private static final int BUCKETS = 24;

	private final double ratio;

	private final double minRetries;

	private final long bucketNanos;

	private final long[] requests = new long[BUCKETS];

	private final long[] retries = new long[BUCKETS];

	private long newestBucket = Long.MIN_VALUE;

	private RetryBudget(double ratio, double spare, long windowMillis) {
		this.ratio = ratio;
		this.minRetries = spare;
		// One bucket more than the window is looked at, so that any sliding window fits.
		this.bucketNanos = TimeUnit.MILLISECONDS.toNanos(windowMillis) / (BUCKETS - 1);
	}

	/**
	 * Returns an allowance.
	 * @param ratio the further attempts for each request
	 * @param minRetries the further attempts in a window without any request
	 * @param windowMillis the window, in milliseconds
	 * @return the allowance
	 */
	public static RetryBudget of(double ratio, double minRetries, long windowMillis) {
		return new RetryBudget(ratio, minRetries, windowMillis);
	}

	/**
	 * Counts a request's first attempt.
	 * @param nowNanos the time
	 */
	public void recordRequest(long nowNanos) {
		this.requests[bucket(nowNanos)]++;
	}

	/**
	 * Takes a further attempt.
	 * @param nowNanos the time
	 * @return whether it may be sent
	 */
	public boolean tryRetry(long nowNanos) {
		int bucket = bucket(nowNanos);
		if (sum(this.retries) + 1 > this.ratio * sum(this.requests) + this.minRetries) {
			return false;
		}
		this.retries[bucket]++;
		return true;
	}

	private int bucket(long nowNanos) {
		long current = Math.floorDiv(nowNanos, this.bucketNanos);
		long first = Math.max(this.newestBucket + 1, current - BUCKETS + 1);
		for (long each = first; each <= current; each++) {
			int index = (int) Math.floorMod(each, (long) BUCKETS);
			this.requests[index] = 0;
			this.retries[index] = 0;
		}
		this.newestBucket = Math.max(this.newestBucket, current);
		return (int) Math.floorMod(this.newestBucket, (long) BUCKETS);
	}

	private static long sum(long[] counts) {
		long sum = 0;
		for (long count : counts) {
			sum += count;
		}
		return sum;
	}

}
