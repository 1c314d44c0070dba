package io.bulrushrouter.experts.planning;

/**
 * How an operator weighs skew against the cost of moving weights. Skew is the time of the
 * slowest rank over the mean of all ranks.
 *
 * @param name the name that a setting picks it by
 * @param shareSkew layers above this skew get new shares, which move no weights
 * @param moveSkew layers above this skew may get new replicas
 * @param targetSkew a layer that is moved is moved until below this skew
 * @param emergencySkew above this skew of the group weights move in unattended hours too
 * @param movesUnattended whether weights move in unattended hours short of that
 * @param skewWeight the worth of a second of step time saved
 * @param costWeight the cost of a second of weight transfer
 * @param horizonSeconds how long a plan is expected to hold, in seconds
 * @param minMoveIntervalSeconds the least time between two plans that move weights, in
 * seconds
 * @param maxTransferSeconds the longest transfer of one plan, in seconds; what does not
 * fit is left to the next plans
 */
public record PlanProfile(String name, double shareSkew, double moveSkew, double targetSkew, double emergencySkew,
		boolean movesUnattended, double skewWeight, double costWeight, double horizonSeconds,
		double minMoveIntervalSeconds, double maxTransferSeconds) {

	/**
	 * Returns the profile that weighs skew more.
	 * @return the profile
	 */
	public static PlanProfile ofLowSkew() {
		return new PlanProfile("ash", 1.01, 1.035, 1.01, 1.3, true, 4, 1, 900, 30, 25);
	}

	/**
	 * Returns the profile that weighs the cost of moving weights more.
	 * @return the profile
	 */
	public static PlanProfile ofLowCost() {
		return new PlanProfile("kitchen", 1.02, 1.12, 1.05, 1.4, false, 1, 1, 3600, 900, 120);
	}

}
