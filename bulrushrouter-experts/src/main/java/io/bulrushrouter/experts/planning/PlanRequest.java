package io.bulrushrouter.experts.planning;

import io.bulrushrouter.experts.ExpertMap;

/**
 * What a planner decides from. Arrays are not copied and are not to be changed.
 *
 * @param current the map in use
 * @param expertLoads the tokens of each expert by layer and expert, in any one unit
 * @param speeds the measured speed of each rank, 1 for a rank as it should be
 * @param instances the instance of each rank, as a number
 * @param profile the weighing of skew against cost
 * @param weights the size of weights and the rate at which they come
 * @param attended whether somebody watches
 * @param secondsSinceMove the time since weights were last moved, in seconds
 */
public record PlanRequest(ExpertMap current, double[][] expertLoads, double[] speeds, int[] instances,
		PlanProfile profile, WeightStore weights, boolean attended, double secondsSinceMove) {

	/**
	 * Returns whether weights may be moved at the given skew of the group.
	 * @param skew the skew
	 * @return whether they may
	 */
	public boolean mayMove(double skew) {
		if (skew > this.profile.emergencySkew()) {
			return true;
		}
		boolean allowed = this.attended || this.profile.movesUnattended();
		return allowed && this.secondsSinceMove >= this.profile.minMoveIntervalSeconds();
	}

	/**
	 * The rate-limited store of weights.
	 *
	 * @param expertBytes the weights of one expert of one layer, in bytes
	 * @param bytesPerSecond the rate of the store for this group, in bytes a second
	 */
	public record WeightStore(long expertBytes, double bytesPerSecond) {

		/**
		 * Returns the time that a transfer takes.
		 * @param weightLoads the number of expert weights
		 * @return the time in seconds
		 */
		public double transferSeconds(long weightLoads) {
			return weightLoads * this.expertBytes / this.bytesPerSecond;
		}

	}

}
