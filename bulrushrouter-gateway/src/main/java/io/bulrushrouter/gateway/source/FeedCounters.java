package io.bulrushrouter.gateway.source;

/**
 * Counts what the followers of feeds met since the start of the process. Not thread-safe.
 */
public final class FeedCounters {

	private long errors;

	private long lostConnections;

	private long outages;

	private long largeAnswers;

	void recordError() {
		this.errors++;
	}

	void recordLostConnection() {
		this.lostConnections++;
	}

	void recordOutage() {
		this.outages++;
	}

	void recordLargeAnswer() {
		this.largeAnswers++;
	}

	/**
	 * Returns the number of errors of this process, after each of which a feed was listed
	 * again.
	 * @return the number of errors
	 */
	public long errors() {
		return this.errors;
	}

	/**
	 * Returns the number of connections that were silent or lost while the store answered
	 * on a new one.
	 * @return the number of connections
	 */
	public long lostConnections() {
		return this.lostConnections;
	}

	/**
	 * Returns the number of times that a feed lost the store.
	 * @return the number of outages, over all feeds
	 */
	public long outages() {
		return this.outages;
	}

	/**
	 * Returns the number of answers of the store that exceeded the limit of the client.
	 * @return the number of answers, over all feeds
	 */
	public long largeAnswers() {
		return this.largeAnswers;
	}

}
