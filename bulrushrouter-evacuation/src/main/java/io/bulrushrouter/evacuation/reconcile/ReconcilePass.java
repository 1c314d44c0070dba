package io.bulrushrouter.evacuation.reconcile;

import java.util.ArrayList;
import java.util.List;

/**
 * Carries out the steps of one pass in their order.
 */
public final class ReconcilePass {

	private ReconcilePass() {
	}

	/**
	 * Carries out steps until one fails. An engine's refusal ends only that engine's
	 * steps, so that one engine cannot stop the others; no answer and an old fencing
	 * number end the pass.
	 * @param steps the steps of one decision
	 * @param port carries out orders
	 * @return what became of each order that was sent
	 */
	public static List<Outcome> run(List<Step> steps, StepPort port) {
		List<Outcome> outcomes = new ArrayList<>();
		for (Step step : steps) {
			if (!(step instanceof Step.Order order)) {
				continue;
			}
			Outcome outcome = new Outcome(order, port.carryOut(order));
			outcomes.add(outcome);
			if (outcome.endsPass()) {
				break;
			}
		}
		return List.copyOf(outcomes);
	}

	/**
	 * What became of one order.
	 *
	 * @param order the order
	 * @param result what became of it
	 */
	public record Outcome(Step.Order order, StepResult result) {

		/**
		 * Tells whether the holder must observe again before it orders anything.
		 * @return whether no answer came or the fencing number is old
		 */
		public boolean endsPass() {
			return this.result instanceof StepResult.Unknown || this.result instanceof StepResult.Fenced;
		}

		/**
		 * Tells whether the holder has lost its lease.
		 * @return whether the fencing number is old
		 */
		public boolean fenced() {
			return this.result instanceof StepResult.Fenced;
		}

	}

}
