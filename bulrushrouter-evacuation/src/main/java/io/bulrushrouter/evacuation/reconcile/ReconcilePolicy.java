package io.bulrushrouter.evacuation.reconcile;

import java.time.Duration;
import java.util.Objects;

/**
 * The limits on how fast the reconciler proceeds.
 *
 * @param maxMovesPerPass the maximum number of organisations that one pass moves; with 1,
 * the move of an organisation is observed as complete before that of the next one begins
 * @param maxConcurrentDepartures the maximum number of upstreams or groups that may be
 * between running and stopped at once, not counting those that are to be drained without
 * being stopped
 * @param drainLead how long before its stop time the gate of an upstream is closed
 */
public record ReconcilePolicy(int maxMovesPerPass, int maxConcurrentDepartures, Duration drainLead) {

	/**
	 * Creates a policy whose drain lead must not be null.
	 */
	public ReconcilePolicy {
		Objects.requireNonNull(drainLead);
	}

	/**
	 * Returns the policy for a fleet of some tens of upstreams: one move per pass, two
	 * concurrent departures and a drain lead of 10 minutes.
	 * @return the policy
	 */
	public static ReconcilePolicy ofDefaults() {
		return new ReconcilePolicy(1, 2, Duration.ofMinutes(10));
	}

}
