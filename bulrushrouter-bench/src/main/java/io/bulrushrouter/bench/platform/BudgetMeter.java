package io.bulrushrouter.bench.platform;

import java.util.EnumMap;
import java.util.Map;

/**
 * Counts the platform calls of each role in each second of a run.
 */
final class BudgetMeter {

	private final Map<BudgetRole, double[]> reads = new EnumMap<>(BudgetRole.class);

	private final Map<BudgetRole, double[]> writes = new EnumMap<>(BudgetRole.class);

	private final int seconds;

	BudgetMeter(int seconds) {
		this.seconds = seconds;
		for (BudgetRole role : BudgetRole.values()) {
			this.reads.put(role, new double[seconds]);
			this.writes.put(role, new double[seconds]);
		}
	}

	void addReads(BudgetRole role, int second, double calls) {
		this.reads.get(role)[second] += calls;
	}

	void addWrites(BudgetRole role, int second, double calls) {
		this.writes.get(role)[second] += calls;
	}

	double meanReads(BudgetRole role) {
		return mean(this.reads.get(role));
	}

	double meanWrites(BudgetRole role) {
		return mean(this.writes.get(role));
	}

	double peakReads() {
		return peak(this.reads);
	}

	double peakWrites() {
		return peak(this.writes);
	}

	private double mean(double[] calls) {
		double sum = 0;
		for (double count : calls) {
			sum += count;
		}
		return sum / this.seconds;
	}

	private double peak(Map<BudgetRole, double[]> calls) {
		double peak = 0;
		for (int second = 0; second < this.seconds; second++) {
			double sum = 0;
			for (double[] role : calls.values()) {
				sum += role[second];
			}
			peak = Math.max(peak, sum);
		}
		return peak;
	}

}
