package io.bulrushrouter.bench.capacity;

import java.util.Locale;
import java.util.function.IntToDoubleFunction;
import java.util.stream.IntStream;

/**
 * A least-squares line through measured points.
 *
 * @param name the measured quantity, with its unit
 * @param sizeUnit the unit of the sizes
 * @param minSize the smallest size measured
 * @param maxSize the largest size measured
 * @param slope the increase for each unit of size
 * @param intercept the value at size 0
 * @param residual the maximum residual of a point, relative to the largest absolute value
 */
record LinearFit(String name, String sizeUnit, int minSize, int maxSize, double slope, double intercept,
		double residual) {

	/** The header of a Markdown table of fits. */
	static final String TABLE_HEADER = "| measured | over | range | slope | intercept | residual |\n|---|---|---|---|---|---|";

	static LinearFit of(String metric, String unitOfSize, int[] sizes, IntToDoubleFunction measure) {
		double[] values = IntStream.of(sizes).mapToDouble(measure).toArray();
		double meanSize = IntStream.of(sizes).average().orElseThrow();
		double meanValue = IntStream.range(0, values.length).mapToDouble((i) -> values[i]).average().orElseThrow();
		double covariance = 0;
		double variance = 0;
		for (int i = 0; i < sizes.length; i++) {
			covariance += (sizes[i] - meanSize) * (values[i] - meanValue);
			variance += (sizes[i] - meanSize) * (sizes[i] - meanSize);
		}
		double fittedSlope = covariance / variance;
		double fittedIntercept = meanValue - fittedSlope * meanSize;
		return new LinearFit(metric, unitOfSize, sizes[0], sizes[sizes.length - 1], fittedSlope, fittedIntercept,
				maxRelativeResidual(sizes, values, fittedSlope, fittedIntercept));
	}

	private static double maxRelativeResidual(int[] sizes, double[] values, double fittedSlope,
			double fittedIntercept) {
		double maxResidual = 0;
		double maxValue = Double.MIN_NORMAL;
		for (int i = 0; i < sizes.length; i++) {
			maxResidual = Math.max(maxResidual, Math.abs(values[i] - fittedIntercept - fittedSlope * sizes[i]));
			maxValue = Math.max(maxValue, Math.abs(values[i]));
		}
		return maxResidual / maxValue;
	}

	/**
	 * Returns the value of the line at a size.
	 * @param x the size
	 * @return the value at the size
	 */
	double valueAt(double x) {
		return this.intercept + this.slope * x;
	}

	String row() {
		return String.format(Locale.ROOT, "| %s | %s | %d to %d | %s | %s | %.1f%% |", this.name, this.sizeUnit,
				this.minSize, this.maxSize, number(this.slope), number(this.intercept), this.residual * 100);
	}

	static String number(double value) {
		double magnitude = Math.abs(value);
		String format = (magnitude < 1e-9) ? "%.0f" : (magnitude < 0.1) ? "%.5f" : (magnitude < 100) ? "%.2f" : "%,.0f";
		return String.format(Locale.ROOT, format, value);
	}

}
