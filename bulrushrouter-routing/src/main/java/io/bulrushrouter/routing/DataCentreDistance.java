package io.bulrushrouter.routing;

import io.bulrushrouter.kernel.DataCentreId;

/**
 * The round trip between data centres.
 */
@FunctionalInterface
public interface DataCentreDistance {

	/**
	 * Returns the round trip between two data centres.
	 * @param from the entry's data centre
	 * @param to the upstream's data centre
	 * @return milliseconds
	 */
	double roundTripMillis(DataCentreId from, DataCentreId to);

	/**
	 * Returns a distance that only tells one data centre from another.
	 * @param withinMillis the round trip within a data centre, in milliseconds
	 * @param betweenMillis the round trip between two, in milliseconds
	 * @return the distance
	 */
	static DataCentreDistance of(double withinMillis, double betweenMillis) {
		return (from, to) -> (from.equals(to)) ? withinMillis : betweenMillis;
	}

}
