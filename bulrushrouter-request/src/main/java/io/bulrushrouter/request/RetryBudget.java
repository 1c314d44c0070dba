package io.bulrushrouter.request;

import java.time.Duration;

/**
 * A token bucket that bounds how much load retries and hedges add. Each request puts in a
 * share of a token and each further attempt takes one. The bucket holds what the requests
 * of a few seconds put in, and a few tokens at least, so that over any longer time
 * attempts stay close to {@code (1 + ratio) * requests}. One budget serves all requests
 * of an entry. Not thread-safe.
 */
public final class RetryBudget {

	/** Tokens that a request puts in by default. */
	public static final double DEFAULT_RATIO = 0.15;

	/** Tokens that the bucket holds by default however few requests come. */
	public static final double DEFAULT_BURST = 2;

	/** The time whose requests fill the bucket. */
	private static final long WINDOW_NANOS = Duration.ofSeconds(3).toNanos();

	private final double ratio;

	private final double burst;

	private double tokens;

	private long windowStartNanos;

	private long requests;

	private long previousRequests;

	private RetryBudget(double ratio, double burst) {
		this.ratio = ratio;
		this.burst = burst;
		this.tokens = burst;
	}

	/**
	 * Returns a budget with its least tokens.
	 * @param ratio the tokens that a request puts in, 0 to 1
	 * @param burst the tokens that the bucket holds however few requests come
	 * @return the budget
	 */
	public static RetryBudget of(double ratio, double burst) {
		return new RetryBudget(ratio, burst);
	}

	/**
	 * Returns a budget of the default size.
	 * @return the budget
	 */
	public static RetryBudget ofDefaults() {
		return of(DEFAULT_RATIO, DEFAULT_BURST);
	}

	/**
	 * Puts in the share of a new request.
	 * @param nowNanos the time
	 */
	public void deposit(long nowNanos) {
		long elapsed = nowNanos - this.windowStartNanos;
		if (elapsed >= WINDOW_NANOS) {
			this.previousRequests = (elapsed < 2 * WINDOW_NANOS) ? this.requests : 0;
			this.requests = 0;
			this.windowStartNanos = nowNanos;
		}
		this.requests++;
		double capacity = Math.max(this.burst, this.ratio * Math.max(this.requests, this.previousRequests));
		this.tokens = Math.min(capacity, this.tokens + this.ratio);
	}

	/**
	 * Takes a token for a further attempt.
	 * @return whether there was one
	 */
	public boolean tryWithdraw() {
		if (this.tokens < 1) {
			return false;
		}
		this.tokens -= 1;
		return true;
	}

	/**
	 * Returns what is left.
	 * @return the tokens
	 */
	public double tokens() {
		return this.tokens;
	}

}
