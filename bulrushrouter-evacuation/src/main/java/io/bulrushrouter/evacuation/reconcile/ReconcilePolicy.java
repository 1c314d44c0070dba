package io.bulrushrouter.evacuation.reconcile;

import java.time.Duration;
import java.util.Objects;

/**
 * How fast the reconciler may go.
 *
 * @param maxMovesPerPass how many organisations one pass may move; with 1, one is seen to
 * have moved before the next in the plan's order begins
 * @param maxConcurrentDepartures how many upstreams or groups may be between running and
 * stopped at once, beside those that sheets leave standing
 * @param drainLead how long before its stop hour an upstream's gate is closed
 */
public record ReconcilePolicy(int maxMovesPerPass, int maxConcurrentDepartures, Duration drainLead) {

	/**
	 * Checks the parts.
	 */
	public ReconcilePolicy {
		Objects.requireNonNull(drainLead);
	}

	/**
	 * Returns the policy for a fleet of some tens of upstreams.
	 * @return the policy
	 */
	public static ReconcilePolicy ofDefaults() {
		return new ReconcilePolicy(1, 2, Duration.ofMinutes(10));
	}

}
