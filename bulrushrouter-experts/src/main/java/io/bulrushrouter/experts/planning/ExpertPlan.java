package io.bulrushrouter.experts.planning;

import io.bulrushrouter.experts.ExpertMap;

/**
 * A planner's decision, with the figures that describe it in the log.
 *
 * @param map the map to change to; the map in use unless {@link #changesMap()}
 * @param weightLoads the number of expert weights that ranks load for the new map
 * @param bytes the size of those weights, in bytes
 * @param skewBefore the group's skew on the map in use
 * @param skewAfter the group's skew on the new map
 * @param reason why the map is changed or kept
 */
public record ExpertPlan(ExpertMap map, int weightLoads, long bytes, double skewBefore, double skewAfter,
		Reason reason) {

	/**
	 * Why a plan changes or keeps the map.
	 */
	public enum Reason {

		/** The map in use is good enough; no layer changes. */
		GOOD_ENOUGH,

		/** No better map was found. */
		NO_GAIN,

		/** A better map exists, but its weight transfer costs more than it gains. */
		COST_EXCEEDS_GAIN,

		/** Only the shares of replicas change; no weights are transferred. */
		SHARES_ONLY,

		/** Ranks load weights for new replicas. */
		MOVES

	}

	/**
	 * Returns whether the plan changes the map.
	 * @return whether it does
	 */
	public boolean changesMap() {
		return this.reason == Reason.SHARES_ONLY || this.reason == Reason.MOVES;
	}

}
