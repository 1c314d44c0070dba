package io.bulrushrouter.experts.live;

/**
 * Simulates the store that issues fencing tokens: a token orders the era of the store
 * before the revision of the holder's object. A store that is restored from an older copy
 * starts a new era and gives revisions out again.
 */
final class SimulatedTokens {

	/** Added to a token for each era, more than the revisions of a run. */
	private static final long REVISIONS_PER_ERA = 1_000;

	private final boolean orderedByEra;

	private long era;

	private long revision;

	private SimulatedTokens(boolean orderedByEra) {
		this.orderedByEra = orderedByEra;
	}

	static SimulatedTokens ofEraAndRevision() {
		return new SimulatedTokens(true);
	}

	static SimulatedTokens ofRevision() {
		return new SimulatedTokens(false);
	}

	long acquire() {
		this.revision++;
		return (this.orderedByEra ? this.era * REVISIONS_PER_ERA : 0) + this.revision;
	}

	/**
	 * Restores the store from a copy.
	 * @param lost the number of writes that the copy lacks, at most all
	 */
	void restore(int lost) {
		this.era++;
		this.revision = Math.max(0, this.revision - lost);
	}

}
