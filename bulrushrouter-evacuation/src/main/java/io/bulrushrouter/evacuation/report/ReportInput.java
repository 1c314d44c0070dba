package io.bulrushrouter.evacuation.report;

import java.time.LocalDateTime;
import java.util.List;
import java.util.Objects;

import io.bulrushrouter.evacuation.EvacuationState;
import io.bulrushrouter.evacuation.Fleet;
import io.bulrushrouter.evacuation.ProgressPoint;
import io.bulrushrouter.evacuation.reconcile.Observation;
import io.bulrushrouter.evacuation.reconcile.Step;

/**
 * The input of a report.
 *
 * @param state the intended state
 * @param fleet the inventory of the fleet
 * @param observed the observed state
 * @param steps the reconciler's steps for the same state, observation and time
 * @param now the current local time of the building
 * @param progress the numbers of remaining upstreams recorded earlier, oldest first
 */
public record ReportInput(EvacuationState state, Fleet fleet, Observation observed, List<Step> steps, LocalDateTime now,
		List<ProgressPoint> progress) {

	/**
	 * Creates an input with copies of the lists.
	 */
	public ReportInput {
		Objects.requireNonNull(state);
		Objects.requireNonNull(fleet);
		Objects.requireNonNull(observed);
		steps = List.copyOf(steps);
		Objects.requireNonNull(now);
		progress = List.copyOf(progress);
	}

}
