package io.bulrushrouter.experts.planning;

import java.util.Arrays;
import java.util.Comparator;
import java.util.PriorityQueue;

import io.bulrushrouter.experts.GroupShape;

/**
 * Builds a layer from nothing: spare slots go to the experts with the most tokens a
 * replica, and replicas go, largest first, to the least loaded rank with a free slot.
 */
final class LayerBuilder {

	private final GroupShape shape;

	private final double[] loads;

	private final double[] speeds;

	private LayerBuilder(GroupShape shape, double[] loads, double[] speeds) {
		this.shape = shape;
		this.loads = loads;
		this.speeds = speeds;
	}

	static LayerFit build(GroupShape shape, double[] loads, double[] speeds) {
		return new LayerBuilder(shape, loads, speeds).build();
	}

	private LayerFit build() {
		int[] counts = replicaCounts();
		Integer[] order = new Integer[this.loads.length];
		Arrays.setAll(order, (expert) -> expert);
		Arrays.sort(order, Comparator.comparingDouble((expert) -> -this.loads[expert] / counts[expert]));
		LayerFit fit = LayerFit.ofEmpty(this.shape, this.loads, this.speeds);
		double[] times = new double[this.shape.ranks()];
		int[] used = new int[this.shape.ranks()];
		for (int expert : order) {
			for (int replica = 0; replica < counts[expert]; replica++) {
				place(fit, expert, this.loads[expert] / counts[expert], times, used);
			}
		}
		return fit;
	}

	private int[] replicaCounts() {
		int[] counts = new int[this.loads.length];
		Arrays.fill(counts, 1);
		PriorityQueue<Integer> most = new PriorityQueue<>(
				Comparator.comparingDouble((expert) -> -this.loads[expert] / counts[expert]));
		for (int expert = 0; expert < counts.length; expert++) {
			most.add(expert);
		}
		int spare = this.shape.slotsOfLayer() - counts.length;
		while (spare > 0 && !most.isEmpty()) {
			int expert = most.poll();
			if (counts[expert] < this.shape.ranks()) {
				counts[expert]++;
				spare--;
				most.add(expert);
			}
		}
		return counts;
	}

	private void place(LayerFit fit, int expert, double tokens, double[] times, int[] used) {
		int best = -1;
		for (int rank = 0; rank < times.length; rank++) {
			boolean free = used[rank] < this.shape.slots() && !fit.holds(rank, expert);
			if (free && (best < 0 || times[rank] < times[best])) {
				best = rank;
			}
		}
		if (best >= 0) {
			fit.put(best * this.shape.slots() + used[best], expert);
			used[best]++;
			times[best] += tokens / this.speeds[best];
		}
	}

}
