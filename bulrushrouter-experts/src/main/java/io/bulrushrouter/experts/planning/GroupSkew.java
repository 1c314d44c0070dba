package io.bulrushrouter.experts.planning;

import java.util.Arrays;

import io.bulrushrouter.experts.ExpertMap;
import io.bulrushrouter.experts.GroupShape;

/**
 * The skew of a step: ranks wait for one another in every layer, so the slowest ranks of
 * all layers add up, over the sum of the layers' means.
 */
public final class GroupSkew {

	private GroupSkew() {
	}

	/**
	 * Returns the skew of a map under given loads.
	 * @param map the map
	 * @param loads the tokens by layer and expert
	 * @param speeds the speed of each rank
	 * @return the skew, at least 1
	 */
	public static double of(ExpertMap map, double[][] loads, double[] speeds) {
		double slowest = 0;
		double mean = 0;
		for (int layer = 0; layer < loads.length; layer++) {
			LayerFit fit = LayerFit.of(map, layer, loads[layer], speeds, false);
			slowest += fit.slowest();
			mean += fit.mean();
		}
		return (mean > 0) ? slowest / mean : 1;
	}

	/**
	 * Returns a lower bound on the skew of every map that fits the ranks' memory: the k
	 * most loaded experts have at most k plus the spare slots as replicas, each on one
	 * rank.
	 * @param shape the sizes
	 * @param loads the tokens by layer and expert
	 * @return the bound, at least 1, for ranks of equal speed
	 */
	public static double lowerBound(GroupShape shape, double[][] loads) {
		double slowest = 0;
		double mean = 0;
		for (double[] layer : loads) {
			double[] sorted = layer.clone();
			Arrays.sort(sorted);
			double all = Arrays.stream(sorted).sum();
			double bound = all / shape.ranks();
			double top = 0;
			for (int count = 1; count <= sorted.length; count++) {
				top += sorted[sorted.length - count];
				int replicas = count + shape.slotsPerLayer() - shape.experts();
				bound = Math.max(bound, top / Math.min(shape.ranks(), replicas));
			}
			slowest += bound;
			mean += all / shape.ranks();
		}
		return (mean > 0) ? slowest / mean : 1;
	}

}
