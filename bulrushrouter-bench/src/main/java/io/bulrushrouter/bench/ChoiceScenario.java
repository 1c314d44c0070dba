package io.bulrushrouter.bench;

/**
 * A scenario of the {@code choice} experiment.
 *
 * @param name the label of the scenario's table
 * @param entries the number of entries, all of which receive the same delayed reports
 * @param upstreams the number of upstreams, all of one model
 * @param requestsPerSecond the mean rate over all entries
 * @param seconds the simulated time, in seconds; the first sixth is not counted
 * @param slowUpstreams the number of upstreams that run at a third of their speed
 * @param misreportingUpstreams the number of upstreams whose engine reports an empty
 * queue and advertises prefixes that it does not cache
 * @param sharing the prompts that share a prefix
 * @param reportIntervalMillis the interval between load reports of an upstream, in
 * milliseconds
 */
record ChoiceScenario(String name, int entries, int upstreams, double requestsPerSecond, double seconds,
		int slowUpstreams, int misreportingUpstreams, Sharing sharing, double reportIntervalMillis) {

	/** Upstreams per model at the target size of 600 upstreams and 34 models. */
	static final int UPSTREAMS = 18;

	/** Number of entries at the target size. */
	static final int ENTRIES = 400;

	/** Rate at which least-loaded-of-two keeps the upstreams busy 85% of the time. */
	static final double REQUESTS_PER_SECOND = 185;

	/** Rate with the same effect for prompts that share no prefix. */
	static final double UNSHARED_REQUESTS_PER_SECOND = 210;

	/** Rate at which the home set keeps the upstreams busy about 80% of the time. */
	static final double FULL_LOAD_REQUESTS_PER_SECOND = 480;

	private static final double REPORT_INTERVAL_MILLIS = 2_000;

	static ChoiceScenario of(String name, double seconds) {
		return new ChoiceScenario(name, ENTRIES, UPSTREAMS, REQUESTS_PER_SECOND, seconds, 0, 0, Sharing.ORGANISATION,
				REPORT_INTERVAL_MILLIS);
	}

	ChoiceScenario withSize(int entryCount, int upstreamCount) {
		return new ChoiceScenario(this.name, entryCount, upstreamCount,
				this.requestsPerSecond * upstreamCount / this.upstreams, this.seconds, this.slowUpstreams,
				this.misreportingUpstreams, this.sharing, this.reportIntervalMillis);
	}

	ChoiceScenario withSlow(int count) {
		return new ChoiceScenario(this.name, this.entries, this.upstreams, this.requestsPerSecond, this.seconds, count,
				this.misreportingUpstreams, this.sharing, this.reportIntervalMillis);
	}

	ChoiceScenario withMisreporting(int count) {
		return new ChoiceScenario(this.name, this.entries, this.upstreams, this.requestsPerSecond, this.seconds,
				this.slowUpstreams, count, this.sharing, this.reportIntervalMillis);
	}

	ChoiceScenario withPrompts(Sharing which, double rate) {
		return new ChoiceScenario(this.name, this.entries, this.upstreams, rate, this.seconds, this.slowUpstreams,
				this.misreportingUpstreams, which, this.reportIntervalMillis);
	}

	ChoiceScenario withReportInterval(double millis) {
		return new ChoiceScenario(this.name, this.entries, this.upstreams, this.requestsPerSecond, this.seconds,
				this.slowUpstreams, this.misreportingUpstreams, this.sharing, millis);
	}

	/**
	 * The prompts that share a prefix.
	 */
	enum Sharing {

		/** Prompts of an organisation share one of its two prefixes. */
		ORGANISATION,

		/** As {@link #ORGANISATION}, and half of all prompts share a single prefix. */
		HOT,

		/** No prompts share a prefix. */
		NONE

	}

}
