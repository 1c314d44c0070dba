package io.bulrushrouter.bench.capacity;

import java.util.Locale;
import java.util.function.IntToDoubleFunction;
import java.util.stream.IntStream;

/**
 * A line of least squares through measured points.
 *
 * @param name what was measured, with its unit
 * @param size what the sizes count
 * @param smallest the smallest size measured
 * @param largest the largest size measured
 * @param slope the rise for each unit of size
 * @param intercept the value at size 0
 * @param residual the largest distance of a point from the line, as a part of the largest
 * value
 */
record Fit(String name, String size, int smallest, int largest, double slope, double intercept, double residual) {

	/** The head of a table of fits. */
	static final String HEAD = "| measured | over | range | slope | intercept | residual |\n|---|---|---|---|---|---|";

	static Fit of(String what, String unit, int[] sizes, IntToDoubleFunction measure) {
		double[] values = IntStream.of(sizes).mapToDouble(measure).toArray();
		double meanSize = IntStream.of(sizes).average().orElseThrow();
		double meanValue = IntStream.range(0, values.length).mapToDouble((i) -> values[i]).average().orElseThrow();
		double covariance = 0;
		double variance = 0;
		for (int i = 0; i < sizes.length; i++) {
			covariance += (sizes[i] - meanSize) * (values[i] - meanValue);
			variance += (sizes[i] - meanSize) * (sizes[i] - meanSize);
		}
		double rise = covariance / variance;
		double start = meanValue - rise * meanSize;
		return new Fit(what, unit, sizes[0], sizes[sizes.length - 1], rise, start,
				distance(sizes, values, rise, start));
	}

	private static double distance(int[] sizes, double[] values, double rise, double start) {
		double farthest = 0;
		double highest = Double.MIN_NORMAL;
		for (int i = 0; i < sizes.length; i++) {
			farthest = Math.max(farthest, Math.abs(values[i] - start - rise * sizes[i]));
			highest = Math.max(highest, Math.abs(values[i]));
		}
		return farthest / highest;
	}

	/**
	 * Returns the line's value.
	 * @param at the size
	 * @return the value
	 */
	double at(double at) {
		return this.intercept + this.slope * at;
	}

	String row() {
		return String.format(Locale.ROOT, "| %s | %s | %d to %d | %s | %s | %.1f%% |", this.name, this.size,
				this.smallest, this.largest, number(this.slope), number(this.intercept), this.residual * 100);
	}

	static String number(double value) {
		double magnitude = Math.abs(value);
		String format = (magnitude < 1e-9) ? "%.0f" : (magnitude < 0.1) ? "%.5f" : (magnitude < 100) ? "%.2f" : "%,.0f";
		return String.format(Locale.ROOT, format, value);
	}

}
