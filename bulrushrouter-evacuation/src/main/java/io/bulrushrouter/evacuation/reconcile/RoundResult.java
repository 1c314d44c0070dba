package io.bulrushrouter.evacuation.reconcile;

import java.util.List;
import java.util.Optional;

import io.bulrushrouter.evacuation.EvacuationProgress;
import io.bulrushrouter.evacuation.EvacuationState;

/**
 * What one round has read, decided and done: all that a log line and a report need.
 *
 * @param state what is intended, or empty if it was never read
 * @param observed what was observed
 * @param progress what holders have seen so far
 * @param steps the steps that were decided, those held among them
 * @param outcomes what became of the orders that were sent
 * @param fenced whether another holder has taken over
 */
public record RoundResult(Optional<EvacuationState> state, Observation observed, EvacuationProgress progress,
		List<Step> steps, List<StepOutcome> outcomes, boolean fenced) {

	/**
	 * Copies the lists.
	 */
	public RoundResult {
		steps = List.copyOf(steps);
		outcomes = List.copyOf(outcomes);
	}

}
