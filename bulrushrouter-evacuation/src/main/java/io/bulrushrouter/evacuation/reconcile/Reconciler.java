package io.bulrushrouter.evacuation.reconcile;

import java.time.LocalDateTime;
import java.util.ArrayList;
import java.util.List;

import io.bulrushrouter.evacuation.EvacuationState;
import io.bulrushrouter.evacuation.Fleet;

/**
 * Compares the intended with the observed state of the fleet and decides the next safe
 * steps. It keeps no state between passes, so that the next holder of the plan's lease
 * can continue with a higher fencing token.
 *
 * <pre>{@code
 * List<Step> steps = Reconciler.of(fleet, ReconcilePolicy.ofDefaults())
 *     .steps(state, observation, now, lease.fence());
 * }</pre>
 */
public final class Reconciler {

	private final Fleet fleet;

	private final ReconcilePolicy policy;

	private Reconciler(Fleet fleet, ReconcilePolicy policy) {
		this.fleet = fleet;
		this.policy = policy;
	}

	/**
	 * Creates a reconciler.
	 * @param fleet the inventory of the fleet
	 * @param policy the limits on concurrent steps
	 * @return the reconciler
	 */
	public static Reconciler of(Fleet fleet, ReconcilePolicy policy) {
		return new Reconciler(fleet, policy);
	}

	/**
	 * Decides the next safe steps, which have to be carried out in the returned order. If
	 * the outcome of a step is unknown or its fencing token is stale, the holder must
	 * skip the rest and observe again.
	 * @param intended the intended state
	 * @param observed the observed state
	 * @param now the current local time of the building
	 * @param fence the fencing token of the holder's lease
	 * @return the steps to carry out and those that are due but held; empty if the plan
	 * is cancelled
	 */
	public List<Step> steps(EvacuationState intended, Observation observed, LocalDateTime now, long fence) {
		if (intended.plan().cancelled()) {
			return List.of();
		}
		List<Step> steps = new ArrayList<>();
		MovePass moves = new MovePass(this.fleet, this.policy, intended, observed, fence);
		steps.addAll(moves.steps());
		steps.addAll(new DeparturePass(this.fleet, this.policy, intended, observed, now, fence).steps());
		return List.copyOf(steps);
	}

}
