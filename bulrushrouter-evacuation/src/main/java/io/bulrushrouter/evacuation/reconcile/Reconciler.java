package io.bulrushrouter.evacuation.reconcile;

import java.time.LocalDateTime;
import java.util.ArrayList;
import java.util.List;

import io.bulrushrouter.evacuation.EvacuationState;
import io.bulrushrouter.evacuation.Fleet;

/**
 * Compares what is intended with what is observed and decides the next safe steps. It
 * keeps nothing between passes: whoever holds the plan's lease may run the next one, with
 * a higher fencing number.
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
	 * Returns the reconciler of one inventory.
	 * @param fleet the inventory
	 * @param policy how fast it may go
	 * @return the reconciler
	 */
	public static Reconciler of(Fleet fleet, ReconcilePolicy policy) {
		return new Reconciler(fleet, policy);
	}

	/**
	 * Decides the next safe steps, to be taken in their order. A holder whose step fails
	 * takes none of the later ones, and observes again.
	 * @param intended what is intended
	 * @param observed what is observed
	 * @param now the building's local time
	 * @param fence the holder's fencing number
	 * @return the steps to take and those that are due and held
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
