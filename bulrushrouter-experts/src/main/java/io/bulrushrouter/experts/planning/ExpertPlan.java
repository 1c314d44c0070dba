package io.bulrushrouter.experts.planning;

import io.bulrushrouter.experts.ExpertMap;

/**
 * A planner's decision, with what a log line needs.
 *
 * @param map the map to change to; the map in use if {@code reason} is a kept map
 * @param weightLoads the expert weights that ranks load for it
 * @param bytes the size of these
 * @param skewBefore the group's skew on the map in use
 * @param skewAfter the group's skew on the new map
 * @param reason why
 */
public record ExpertPlan(ExpertMap map, int weightLoads, long bytes, double skewBefore, double skewAfter,
		Reason reason) {

	/**
	 * Why a plan is as it is.
	 */
	public enum Reason {

		/** The map in use is good enough. */
		GOOD_ENOUGH,

		/** No better map was found. */
		NO_GAIN,

		/** A better map would not pay for its transfer. */
		COST_EXCEEDS_GAIN,

		/** Only shares change; no weights move. */
		SHARES_ONLY,

		/** Weights move. */
		MOVES

	}

	/**
	 * Returns whether the map changes.
	 * @return whether it does
	 */
	public boolean changesMap() {
		return this.reason == Reason.SHARES_ONLY || this.reason == Reason.MOVES;
	}

}
