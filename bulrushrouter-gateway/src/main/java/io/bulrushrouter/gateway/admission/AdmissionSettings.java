package io.bulrushrouter.gateway.admission;

import java.time.Duration;
import java.util.Optional;

import io.bulrushrouter.routing.admission.PriorityClasses;

/**
 * What the configuration says about the admission of one service's streams.
 *
 * @param objective the objective for the first event
 * @param maxEventGap the longest allowed pause between events, or empty if streams are
 * limited by their first events alone
 * @param fixedPassMillis the length of a pass without any stream, in milliseconds
 * @param meanTokens the mean number of tokens of prompt and answer
 * @param classes the priority classes
 */
public record AdmissionSettings(Duration objective, Optional<Duration> maxEventGap, double fixedPassMillis,
		int meanTokens, PriorityClasses classes) {

	/** A caller leaves after it has had no event for this time, or longer. */
	private static final long MIN_PATIENCE_MILLIS = 2_000;

	private static final int PATIENCE_OBJECTIVES = 4;

	private static final int PATIENCE_GAPS = 8;

	/**
	 * Returns how long a caller waits for its first event before it leaves.
	 * @return the time in milliseconds
	 */
	public long patienceMillis() {
		long gapMillis = this.maxEventGap.map(Duration::toMillis).orElse(0L);
		return Math.max(MIN_PATIENCE_MILLIS,
				Math.max(PATIENCE_OBJECTIVES * this.objective.toMillis(), PATIENCE_GAPS * gapMillis));
	}

}
