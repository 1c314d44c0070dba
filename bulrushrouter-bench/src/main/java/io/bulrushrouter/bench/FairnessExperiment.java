package io.bulrushrouter.bench;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.HdrHistogram.Histogram;

import io.bulrushrouter.bench.FairnessModel.Load;

/**
 * Measures how far a flood of requests from one organisation delays the others, and how
 * far the share of each organisation deviates from its weight.
 */
final class FairnessExperiment implements Experiment {

	/**
	 * Maximum ratio of the other organisations' 95th percentiles with and without the
	 * flood.
	 */
	private static final double MAX_P95_RATIO = 1.1;

	/** Maximum deviation of a share from its weight, relative to the weight. */
	private static final double MAX_SHARE_DEVIATION = 0.05;

	private static final int ORGANISATIONS = 10;

	/** Load of the flooding organisation, as a multiple of its share. */
	private static final double FLOOD_SHARES = 20;

	/** Slot counts of an engine limited by prefill and of one limited by its slots. */
	private static final int[] SLOTS = { 96, 64 };

	/**
	 * Maximum load at which the bound applies, with the flooding organisation at its
	 * share.
	 */
	private static final double MAX_BOUNDED_LOAD = 0.85;

	/** Buckets of half a second in a window of 10 s. */
	private static final int WINDOW_BUCKETS = 20;

	private static final double[] WEIGHTS = { 1, 2, 3, 4 };

	@Override
	public boolean run(PrintStream out) {
		return checkBounds(out, 600, 3, ChoiceScenario.UPSTREAMS);
	}

	/**
	 * Runs the model, prints its figures and returns whether the bounds hold.
	 * @param out receives the figures
	 * @param seconds the simulated time, in seconds
	 * @param seeds the number of flood runs, each with its own seed
	 * @param upstreams the number of upstreams over which shares are summed
	 * @return whether the bounds hold
	 */
	static boolean checkBounds(PrintStream out, double seconds, int seeds, int upstreams) {
		out.println("| slots | others' load | with a share for the flood | p95 alone ms | p95 beside the flood ms "
				+ "| ratio | bound |");
		out.println("|---|---|---|---|---|---|---|");
		boolean withinBounds = true;
		for (int slots : SLOTS) {
			for (double load : new double[] { 0.5, 0.8, 0.9 }) {
				withinBounds &= checkBounds(out, slots, load, seconds, seeds);
			}
		}
		double singleUpstream = shareDeviation(1, seconds);
		double all = shareDeviation(upstreams, seconds);
		out.printf(Locale.ROOT, "%nfarthest share from its weight over any 10 s: %.3f at one upstream, "
				+ "%.3f over %d upstreams (bound %.2f)%n", singleUpstream, all, upstreams, MAX_SHARE_DEVIATION);
		return withinBounds && all <= MAX_SHARE_DEVIATION;
	}

	private static boolean checkBounds(PrintStream out, int slots, double load, double seconds, int seeds) {
		double alone = firstTokenP95Millis(slots, load, 0, seconds, seeds);
		double beside = firstTokenP95Millis(slots, load, FLOOD_SHARES, seconds, seeds);
		double others = load * (ORGANISATIONS - 1) / ORGANISATIONS;
		double all = others + 1.0 / ORGANISATIONS;
		boolean bounded = all <= MAX_BOUNDED_LOAD;
		out.printf(Locale.ROOT, "| %d | %.2f | %.2f | %.0f | %.0f | %.2f | %s |%n", slots, others, all, alone, beside,
				beside / alone, bounded ? String.valueOf(MAX_P95_RATIO) : "none above 0.85");
		return !bounded || beside <= alone * MAX_P95_RATIO;
	}

	private static double firstTokenP95Millis(int slots, double load, double floodShares, double seconds, int seeds) {
		double share = FairnessModel.capacityPerSecond(slots) / ORGANISATIONS;
		List<Load> loads = new ArrayList<>();
		loads.add(new Load(1, share * floodShares));
		for (int i = 1; i < ORGANISATIONS; i++) {
			loads.add(new Load(1, share * load));
		}
		Histogram others = new Histogram(3);
		for (int seed = 1; seed <= seeds; seed++) {
			Histogram[] byOrganisation = FairnessModel.run(slots, loads, seconds, seed).firstTokenMicros();
			for (int i = 1; i < ORGANISATIONS; i++) {
				others.add(byOrganisation[i]);
			}
		}
		return others.getValueAtPercentile(95) / 1000.0;
	}

	private static double shareDeviation(int upstreams, double seconds) {
		double sum = 0;
		for (double weight : WEIGHTS) {
			sum += weight;
		}
		List<Load> loads = new ArrayList<>();
		for (double weight : WEIGHTS) {
			loads.add(new Load(weight, 3 * FairnessModel.capacityPerSecond(SLOTS[0]) * weight / sum));
		}
		double[][] served = new double[WEIGHTS.length][(int) (seconds * 2) + 1];
		for (int seed = 1; seed <= upstreams; seed++) {
			add(served, FairnessModel.run(SLOTS[0], loads, seconds, seed).servedTokens());
		}
		return maxShareDeviation(served, sum);
	}

	private static void add(double[][] total, double[][] more) {
		for (int i = 0; i < total.length; i++) {
			for (int j = 0; j < total[i].length; j++) {
				total[i][j] += more[i][j];
			}
		}
	}

	private static double maxShareDeviation(double[][] served, double weights) {
		double max = 0;
		int buckets = served[0].length - 1;
		for (int start = buckets / 6; start + WINDOW_BUCKETS <= buckets; start++) {
			double all = 0;
			double[] own = new double[WEIGHTS.length];
			for (int i = 0; i < own.length; i++) {
				for (int j = start; j < start + WINDOW_BUCKETS; j++) {
					own[i] += served[i][j];
				}
				all += own[i];
			}
			for (int i = 0; i < own.length; i++) {
				max = Math.max(max, Math.abs(own[i] / all / (WEIGHTS[i] / weights) - 1));
			}
		}
		return max;
	}

}
