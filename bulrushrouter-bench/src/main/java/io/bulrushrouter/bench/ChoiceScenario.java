package io.bulrushrouter.bench;

/**
 * One setting of the {@code choice} experiment.
 *
 * @param name its name in the table
 * @param entries entries, all with the same late reports
 * @param upstreams upstreams of one model
 * @param requestsPerSecond mean rate over all entries
 * @param seconds simulated time; the first sixth is not counted
 * @param slowUpstreams upstreams at a third of their speed
 * @param misreportingUpstreams upstreams whose engine reports an empty queue and claims
 * prefixes that it does not cache
 * @param sharing which prompts share a prefix
 * @param reportIntervalMillis time between reports of an upstream, in milliseconds
 */
record ChoiceScenario(String name, int entries, int upstreams, double requestsPerSecond, double seconds,
		int slowUpstreams, int misreportingUpstreams, Sharing sharing, double reportIntervalMillis) {

	/** Upstreams of a model at the target size: 600 upstreams, 34 models. */
	static final int UPSTREAMS = 18;

	/** Entries at the target size. */
	static final int ENTRIES = 400;

	/** Rate at which least-loaded-of-two keeps the upstreams busy 85% of the time. */
	static final double REQUESTS_PER_SECOND = 185;

	/** The same for prompts that share nothing. */
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
	 * Which prompts share a prefix.
	 */
	enum Sharing {

		/** Those of an organisation, by one of two prefixes. */
		ORGANISATION,

		/** As above, and half of all prompts have one prefix. */
		HOT,

		/** None. */
		NONE

	}

}
