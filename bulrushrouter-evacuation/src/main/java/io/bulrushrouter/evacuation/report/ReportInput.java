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
 * What a report is made from.
 *
 * @param state what is intended
 * @param fleet the inventory
 * @param observed what is observed
 * @param steps the reconciler's steps for the same state, observation and time
 * @param now the building's local time
 * @param progress how many upstreams remained before, oldest first
 */
public record ReportInput(EvacuationState state, Fleet fleet, Observation observed, List<Step> steps, LocalDateTime now,
		List<ProgressPoint> progress) {

	/**
	 * Copies the lists.
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
