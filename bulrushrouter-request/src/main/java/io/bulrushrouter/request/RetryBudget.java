package io.bulrushrouter.request;

/**
 * A token bucket that bounds how much load retries and hedges add. Each request puts in a
 * share of a token and each further attempt takes one, so that attempts stay under
 * {@code (1 + ratio) * requests + burst}. One budget serves all requests of an entry. Not
 * thread-safe.
 */
public final class RetryBudget {

	/** Tokens that a request puts in by default. */
	public static final double DEFAULT_RATIO = 0.15;

	/** Tokens that the bucket holds by default. */
	public static final double DEFAULT_BURST = 10;

	private final double ratio;

	private final double burst;

	private double tokens;

	private RetryBudget(double ratio, double burst) {
		this.ratio = ratio;
		this.burst = burst;
		this.tokens = burst;
	}

	/**
	 * Returns a full budget.
	 * @param ratio the tokens that a request puts in, 0 to 1
	 * @param burst the most tokens that are kept
	 * @return the budget
	 */
	public static RetryBudget of(double ratio, double burst) {
		return new RetryBudget(ratio, burst);
	}

	/**
	 * Returns a full budget of the default size.
	 * @return the budget
	 */
	public static RetryBudget ofDefaults() {
		return of(DEFAULT_RATIO, DEFAULT_BURST);
	}

	/**
	 * Puts in the share of a new request.
	 */
	public void deposit() {
		this.tokens = Math.min(this.burst, this.tokens + this.ratio);
	}

	/**
	 * Takes a token for a further attempt.
	 * @return whether there was one
	 */
	public boolean tryTake() {
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
