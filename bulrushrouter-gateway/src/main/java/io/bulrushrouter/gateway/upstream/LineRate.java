package io.bulrushrouter.gateway.upstream;

import java.util.concurrent.TimeUnit;

/**
 * Bounds the log lines of one kind that are written in a second. Not thread-safe.
 */
public final class LineRate {

	private final int maxLinesPerSecond;

	private long secondStartNanos = Long.MIN_VALUE;

	private int lines;

	/**
	 * Creates a bound of which nothing is used.
	 * @param maxLinesPerSecond the limit of the lines in a second
	 */
	public LineRate(int maxLinesPerSecond) {
		this.maxLinesPerSecond = maxLinesPerSecond;
	}

	/**
	 * Takes a line if one is left.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return whether the line may be written
	 */
	public boolean tryLine(long nowNanos) {
		if (this.secondStartNanos == Long.MIN_VALUE
				|| nowNanos - this.secondStartNanos >= TimeUnit.SECONDS.toNanos(1)) {
			this.secondStartNanos = nowNanos;
			this.lines = 0;
		}
		return this.lines++ < this.maxLinesPerSecond;
	}

}
