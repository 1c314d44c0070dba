package io.bulrushrouter.routing.admission;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/**
 * Mean interval between events of this entry's streams over the last
 * {@value #WINDOW_MILLIS} ms, and the mean number of streams that were in flight when
 * those intervals began. Not thread-safe.
 */
final class IntervalEstimate {

	/**
	 * A window of two to three passes: it follows a change of the demand for experts
	 * within one or two passes, and still averages over all streams.
	 */
	static final long WINDOW_MILLIS = 200;

	private static final int BUCKETS = 8;

	private static final long BUCKET_NANOS = TimeUnit.MILLISECONDS.toNanos(WINDOW_MILLIS) / BUCKETS;

	private final double[] sumMillis = new double[BUCKETS];

	private final double[] sumInFlight = new double[BUCKETS];

	private final int[] count = new int[BUCKETS];

	private long newestBucket = Long.MIN_VALUE;

	private double openMillis;

	private double openInFlight;

	private int openCount;

	void add(double millis, int inFlight, long nowNanos) {
		int bucket = advance(nowNanos);
		this.sumMillis[bucket] += millis;
		this.sumInFlight[bucket] += inFlight;
		this.count[bucket]++;
	}

	/**
	 * Forgets the intervals that have not ended.
	 */
	void clearOpen() {
		this.openMillis = 0;
		this.openInFlight = 0;
		this.openCount = 0;
	}

	/**
	 * Adds an interval that has not ended.
	 * @param millis its length so far, in milliseconds
	 * @param inFlight the streams in flight when it began
	 */
	void addOpen(double millis, int inFlight) {
		this.openMillis += millis;
		this.openInFlight += inFlight;
		this.openCount++;
	}

	/**
	 * Returns the mean interval.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the mean in milliseconds, 0 if no interval is known
	 */
	double meanMillis(long nowNanos) {
		advance(nowNanos);
		return mean(this.sumMillis, this.openMillis);
	}

	/**
	 * Returns the mean number of streams in flight when the intervals began.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the mean, 0 if no interval is known
	 */
	double meanInFlight(long nowNanos) {
		advance(nowNanos);
		return mean(this.sumInFlight, this.openInFlight);
	}

	private double mean(double[] sums, double open) {
		double sum = open;
		int total = this.openCount;
		for (int bucket = 0; bucket < BUCKETS; bucket++) {
			sum += sums[bucket];
			total += this.count[bucket];
		}
		return (total > 0) ? sum / total : 0;
	}

	private int advance(long nowNanos) {
		long current = Math.floorDiv(nowNanos, BUCKET_NANOS);
		if (this.newestBucket == Long.MIN_VALUE || current - this.newestBucket >= BUCKETS) {
			Arrays.fill(this.sumMillis, 0);
			Arrays.fill(this.sumInFlight, 0);
			Arrays.fill(this.count, 0);
			this.newestBucket = current;
		}
		while (this.newestBucket < current) {
			this.newestBucket++;
			int bucket = index(this.newestBucket);
			this.sumMillis[bucket] = 0;
			this.sumInFlight[bucket] = 0;
			this.count[bucket] = 0;
		}
		return index(this.newestBucket);
	}

	private static int index(long bucket) {
		return (int) Math.floorMod(bucket, (long) BUCKETS);
	}

}
