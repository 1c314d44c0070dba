package io.bulrushrouter.evacuation.reconcile;

/**
 * What became of one order.
 *
 * @param order the order
 * @param result what became of it
 */
public record StepOutcome(Step.Order order, StepResult result) {

	/**
	 * Tells whether the holder must observe again before it orders anything. A refusal is
	 * no reason to, so that one engine cannot stop the others.
	 * @return whether no answer came or the fencing number is old
	 */
	public boolean endsRound() {
		return this.result instanceof StepResult.Unknown || fenced();
	}

	/**
	 * Tells whether the holder has lost its lease.
	 * @return whether the fencing number is old
	 */
	public boolean fenced() {
		return this.result instanceof StepResult.Fenced;
	}

}
