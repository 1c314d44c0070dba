package io.bulrushrouter.evacuation.report;

import java.time.Duration;
import java.util.Objects;

/**
 * What forecasts rest on.
 *
 * @param drainTime how long a leaving upstream takes to answer its last request
 * @param moveTime how long an organisation's move takes to be in force
 * @param maxConcurrentDepartures how many upstreams or groups leave at once
 */
public record ForecastSettings(Duration drainTime, Duration moveTime, int maxConcurrentDepartures) {

	/**
	 * Checks the parts.
	 */
	public ForecastSettings {
		Objects.requireNonNull(drainTime);
		Objects.requireNonNull(moveTime);
	}

	/**
	 * Returns the settings for requests that take some minutes at most.
	 * @return the settings
	 */
	public static ForecastSettings ofDefaults() {
		return new ForecastSettings(Duration.ofMinutes(5), Duration.ofSeconds(20), 2);
	}

}
