package io.bulrushrouter.gateway.admission;

import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/**
 * Limits the retries that this entry sends to one service in any sliding window to a
 * ratio of its own requests in that window plus a share of a fixed number. Since every
 * entry keeps to this ratio of its own requests, all entries together keep to it without
 * coordination. Not thread-safe.
 */
public final class RetryBudget {

	private static final int BUCKETS = 24;

	private final double ratio;

	private final DoubleSupplier spareRetries;

	private final long bucketNanos;

	private final long[] requests = new long[BUCKETS];

	private final long[] retries = new long[BUCKETS];

	private long newestBucket = Long.MIN_VALUE;

	private RetryBudget(double ratio, DoubleSupplier spareRetries, long windowMillis) {
		this.ratio = ratio;
		this.spareRetries = spareRetries;
		// The counts span one bucket more than the window, so that they cover any sliding
		// window whole.
		this.bucketNanos = TimeUnit.MILLISECONDS.toNanos(windowMillis) / (BUCKETS - 1);
	}

	/**
	 * Creates a retry budget.
	 * @param ratio the retries allowed for each request
	 * @param spareRetries returns the retries that this entry is allowed in a window
	 * without any request, which follows the number of entries
	 * @param windowMillis the length of the window, in milliseconds
	 * @return the budget
	 */
	public static RetryBudget of(double ratio, DoubleSupplier spareRetries, long windowMillis) {
		return new RetryBudget(ratio, spareRetries, windowMillis);
	}

	/**
	 * Records the first attempt of a request.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void recordRequest(long nowNanos) {
		this.requests[bucket(nowNanos)]++;
	}

	/**
	 * Takes one retry from the budget if any is left.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return whether the retry may be sent
	 */
	public boolean tryRetry(long nowNanos) {
		int bucket = bucket(nowNanos);
		if (sum(this.retries) + 1 > this.ratio * sum(this.requests) + this.spareRetries.getAsDouble()) {
			return false;
		}
		this.retries[bucket]++;
		return true;
	}

	private int bucket(long nowNanos) {
		long current = Math.floorDiv(nowNanos, this.bucketNanos);
		long firstStale = Math.max(this.newestBucket + 1, current - BUCKETS + 1);
		for (long stale = firstStale; stale <= current; stale++) {
			int index = (int) Math.floorMod(stale, (long) BUCKETS);
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
