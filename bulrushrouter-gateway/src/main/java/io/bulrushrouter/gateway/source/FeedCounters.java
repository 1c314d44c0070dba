package io.bulrushrouter.gateway.source;

/**
 * Counts what the followers of feeds met since the start of the process. Not thread-safe.
 */
public final class FeedCounters {

	private long errors;

	void recordError() {
		this.errors++;
	}

	/**
	 * Returns the number of errors of this process, after each of which a feed was listed
	 * again.
	 * @return the number of errors
	 */
	public long errors() {
		return this.errors;
	}

}
