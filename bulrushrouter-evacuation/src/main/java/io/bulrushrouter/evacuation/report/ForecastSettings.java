package io.bulrushrouter.evacuation.report;

import java.time.Duration;
import java.util.Objects;

/**
 * The assumptions behind forecasts.
 *
 * @param drainTime the time that a leaving upstream takes to finish its requests in
 * flight
 * @param moveTime the time until the move of an organisation has taken effect
 * @param maxConcurrentDepartures the number of upstreams or groups that leave at once
 */
public record ForecastSettings(Duration drainTime, Duration moveTime, int maxConcurrentDepartures) {

	/**
	 * Creates settings whose durations must not be null.
	 */
	public ForecastSettings {
		Objects.requireNonNull(drainTime);
		Objects.requireNonNull(moveTime);
	}

	/**
	 * Returns the settings for requests of a few minutes at most: 5 minutes to drain, 20
	 * seconds to move and two concurrent departures.
	 * @return the settings
	 */
	public static ForecastSettings ofDefaults() {
		return new ForecastSettings(Duration.ofMinutes(5), Duration.ofSeconds(20), 2);
	}

}
