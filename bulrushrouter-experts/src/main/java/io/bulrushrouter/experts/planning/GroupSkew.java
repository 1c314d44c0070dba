package io.bulrushrouter.experts.planning;

import java.util.Arrays;

import io.bulrushrouter.experts.ExpertMap;
import io.bulrushrouter.experts.GroupShape;

/**
 * Computes the skew of a forward pass. Ranks synchronise in every layer, so the skew is
 * the sum of the slowest rank's time in each layer, divided by the sum of the layers'
 * mean times.
 */
public final class GroupSkew {

	private GroupSkew() {
	}

	/**
	 * Returns the skew of a map under the given expert loads.
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
	 * Returns a lower bound on the skew of all maps of the given shape. The k most loaded
	 * experts can have at most k replicas plus one for each spare slot, and each replica
	 * is on one rank.
	 * @param shape the shape of the group
	 * @param expertLoads the tokens by layer and expert
	 * @return the lower bound, at least 1, assuming ranks of equal speed
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
				int replicas = count + shape.slotsPerLayer() - shape.experts();
				bound = Math.max(bound, topTokens / Math.min(shape.ranks(), replicas));
			}
			maxTime += bound;
			meanTime += totalTokens / shape.ranks();
		}
		return (meanTime > 0) ? maxTime / meanTime : 1;
	}

}
