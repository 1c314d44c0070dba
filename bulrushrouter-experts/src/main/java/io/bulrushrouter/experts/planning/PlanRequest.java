package io.bulrushrouter.experts.planning;

import io.bulrushrouter.experts.ExpertMap;

/**
 * The input of a planner. Arrays are not copied and must not be modified.
 *
 * @param current the map in use
 * @param expertLoads the tokens of each expert, by layer and expert; any unit, as long as
 * it is the same throughout
 * @param speeds the measured speed of each rank, 1 for a rank at its nominal speed
 * @param instances the index of the instance that each rank runs on
 * @param profile how skew is weighed against the cost of transfers
 * @param weights the size of expert weights and the rate at which they can be loaded
 * @param attended whether an operator is watching the group
 * @param secondsSinceMove the time since a plan last moved weights, in seconds
 */
public record PlanRequest(ExpertMap current, double[][] expertLoads, double[] speeds, int[] instances,
		PlanProfile profile, WeightStore weights, boolean attended, double secondsSinceMove) {

	/**
	 * Returns whether weights may be moved at the given skew of the group.
	 * @param skew the skew of the group
	 * @return whether weights may be moved
	 */
	public boolean mayMove(double skew) {
		if (skew > this.profile.emergencySkew()) {
			return true;
		}
		boolean allowed = this.attended || this.profile.movesUnattended();
		return allowed && this.secondsSinceMove >= this.profile.minMoveIntervalSeconds();
	}

	/**
	 * The rate-limited store from which ranks load expert weights.
	 *
	 * @param expertBytes the size of the weights of one expert of one layer, in bytes
	 * @param bytesPerSecond the rate of the store for this group, in bytes per second
	 */
	public record WeightStore(long expertBytes, double bytesPerSecond) {

		/**
		 * Returns the duration of a transfer.
		 * @param weightLoads the number of expert weights to transfer
		 * @return the duration, in seconds
		 */
		public double transferSeconds(long weightLoads) {
			return weightLoads * this.expertBytes / this.bytesPerSecond;
		}

	}

}
