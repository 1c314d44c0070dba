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
	 * @param expertLoads the tokens by layer and expert
	 * @param speeds the speed of each rank
	 * @return the skew, at least 1
	 */
	public static double of(ExpertMap map, double[][] expertLoads, double[] speeds) {
		double maxTime = 0;
		double meanTime = 0;
		for (int layer = 0; layer < expertLoads.length; layer++) {
			LayerPlacement placement = LayerPlacement.of(map, layer, expertLoads[layer], speeds, false);
			maxTime += placement.maxTime();
			meanTime += placement.meanTime();
		}
		return (meanTime > 0) ? maxTime / meanTime : 1;
	}

	/**
	 * Returns a lower bound on the skew of every map that fits the ranks' memory: the k
	 * most loaded experts have at most k plus the spare slots as replicas, each on one
	 * rank.
	 * @param shape the sizes
	 * @param expertLoads the tokens by layer and expert
	 * @return the bound, at least 1, for ranks of equal speed
	 */
	public static double lowerBound(GroupShape shape, double[][] expertLoads) {
		double maxTime = 0;
		double meanTime = 0;
		for (double[] layer : expertLoads) {
			double[] sorted = layer.clone();
			Arrays.sort(sorted);
			double totalTokens = Arrays.stream(sorted).sum();
			double bound = totalTokens / shape.ranks();
			double topTokens = 0;
			for (int count = 1; count <= sorted.length; count++) {
				topTokens += sorted[sorted.length - count];
				int replicas = count + shape.slotsOfLayer() - shape.experts();
				bound = Math.max(bound, topTokens / Math.min(shape.ranks(), replicas));
			}
			maxTime += bound;
			meanTime += totalTokens / shape.ranks();
		}
		return (meanTime > 0) ? maxTime / meanTime : 1;
	}

}
