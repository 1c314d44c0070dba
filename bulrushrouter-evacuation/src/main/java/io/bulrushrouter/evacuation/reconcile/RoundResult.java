package io.bulrushrouter.evacuation.reconcile;

import java.util.List;
import java.util.Optional;

import io.bulrushrouter.evacuation.EvacuationProgress;
import io.bulrushrouter.evacuation.EvacuationState;

/**
 * The result of one round, with everything that logs and reports need.
 *
 * @param state the intended state, or empty if it was never read
 * @param observed the observed state
 * @param progress the progress recorded so far by all holders
 * @param steps the steps decided, including those that are held
 * @param outcomes the outcomes of the orders sent
 * @param fenced whether another holder has taken over the lease
 */
public record RoundResult(Optional<EvacuationState> state, Observation observed, EvacuationProgress progress,
		List<Step> steps, List<StepOutcome> outcomes, boolean fenced) {

	/**
	 * Creates a result with copies of the lists.
	 */
	public RoundResult {
		steps = List.copyOf(steps);
		outcomes = List.copyOf(outcomes);
	}

}
