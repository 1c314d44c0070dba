package io.bulrushrouter.experts.planning;

/**
 * How an operator weighs skew against the cost of transferring weights. Skew is the time
 * of the slowest rank divided by the mean time of all ranks.
 *
 * @param name the name by which settings select the profile
 * @param shareSkew layers above this skew get new shares, which transfer no weights
 * @param moveSkew layers above this skew may get new replicas
 * @param targetSkew replicas of a layer are moved until its skew is at most this
 * @param emergencySkew above this skew of the whole group, weights move at any time,
 * attended or not and regardless of {@code minMoveIntervalSeconds}
 * @param movesUnattended whether weights may move in unattended hours below
 * {@code emergencySkew}
 * @param skewWeight the value of one second of step time saved
 * @param costWeight the cost of one second of weight transfer
 * @param horizonSeconds how long a plan is expected to remain useful, in seconds
 * @param minMoveIntervalSeconds the minimum time between two plans that move weights, in
 * seconds
 * @param maxTransferSeconds the maximum duration of the weight transfer of one plan, in
 * seconds; moves that do not fit are left to later plans
 */
public record PlanProfile(String name, double shareSkew, double moveSkew, double targetSkew, double emergencySkew,
		boolean movesUnattended, double skewWeight, double costWeight, double horizonSeconds,
		double minMoveIntervalSeconds, double maxTransferSeconds) {

	/**
	 * Returns the profile that favours low skew over low transfer cost.
	 * @return the profile
	 */
	public static PlanProfile ofLowSkew() {
		return new PlanProfile("ash", 1.01, 1.035, 1.01, 1.3, true, 4, 1, 900, 30, 25);
	}

	/**
	 * Returns the profile that favours low transfer cost over low skew.
	 * @return the profile
	 */
	public static PlanProfile ofLowCost() {
		return new PlanProfile("kitchen", 1.02, 1.12, 1.05, 1.4, false, 1, 1, 3600, 900, 120);
	}

}
