package io.bulrushrouter.request;

import java.time.Duration;

/**
 * A token bucket that bounds the load that retries and hedges add. Each request deposits
 * a fraction of a token and each further attempt withdraws one. The capacity is what the
 * requests of a few seconds deposit, with a minimum of a few tokens, so that over longer
 * periods the number of attempts stays close to {@code (1 + ratio) * requests}. All
 * requests of an entry share one budget. Not thread-safe.
 */
public final class RetryBudget {

	/** Default number of tokens that a request deposits. */
	public static final double DEFAULT_RATIO = 0.15;

	/** Default minimum capacity, in tokens. */
	public static final double DEFAULT_BURST = 2;

	/** Length of the window whose requests determine the capacity. */
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
	 * Creates a budget that is filled to its minimum capacity.
	 * @param ratio the tokens that a request deposits, 0 to 1
	 * @param burst the minimum capacity, in tokens
	 * @return the budget
	 */
	public static RetryBudget of(double ratio, double burst) {
		return new RetryBudget(ratio, burst);
	}

	/**
	 * Creates a budget with the default ratio and minimum capacity.
	 * @return the budget
	 */
	public static RetryBudget ofDefaults() {
		return of(DEFAULT_RATIO, DEFAULT_BURST);
	}

	/**
	 * Deposits the tokens of a new request.
	 * @param nowNanos the current time, in nanoseconds
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
	 * Withdraws a token for a further attempt, if there is one.
	 * @return whether a token was withdrawn
	 */
	public boolean tryWithdraw() {
		if (this.tokens < 1) {
			return false;
		}
		this.tokens -= 1;
		return true;
	}

	/**
	 * Returns the available tokens.
	 * @return the number of tokens
	 */
	public double tokens() {
		return this.tokens;
	}

}
