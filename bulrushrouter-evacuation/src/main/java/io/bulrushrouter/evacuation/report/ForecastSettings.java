package io.bulrushrouter.evacuation.report;

import java.time.Duration;
import java.util.Objects;

/**
 * What forecasts rest on.
 *
 * @param drain how long a leaving upstream takes to answer its last request
 * @param move how long an organisation's move takes to be in force
 * @param unitsLeavingAtOnce how many upstreams or groups leave at once
 */
public record ForecastSettings(Duration drain, Duration move, int unitsLeavingAtOnce) {

	/**
	 * Checks the parts.
	 */
	public ForecastSettings {
		Objects.requireNonNull(drain);
		Objects.requireNonNull(move);
	}

	/**
	 * Returns the settings for requests that take some minutes at most.
	 * @return the settings
	 */
	public static ForecastSettings ofDefaults() {
		return new ForecastSettings(Duration.ofMinutes(5), Duration.ofSeconds(20), 2);
	}

}
