package io.bulrushrouter.routing;

import io.bulrushrouter.kernel.DataCentreId;

/**
 * The round-trip times between data centres.
 */
@FunctionalInterface
public interface DataCentreDistance {

	/**
	 * Returns the round-trip time between two data centres.
	 * @param from the entry's data centre
	 * @param to the upstream's data centre
	 * @return the round-trip time, in milliseconds
	 */
	double roundTripMillis(DataCentreId from, DataCentreId to);

	/**
	 * Returns a distance with one round-trip time within every data centre and another
	 * between any two.
	 * @param withinMillis the round-trip time within a data centre, in milliseconds
	 * @param betweenMillis the round-trip time between two data centres, in milliseconds
	 * @return the distance
	 */
	static DataCentreDistance of(double withinMillis, double betweenMillis) {
		return (from, to) -> (from.equals(to)) ? withinMillis : betweenMillis;
	}

}
