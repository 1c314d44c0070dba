package io.bulrushrouter.evacuation.reconcile;

/**
 * An order that was sent, with its result.
 *
 * @param order the order
 * @param result the result of the order
 */
public record StepOutcome(Step.Order order, StepResult result) {

	/**
	 * Returns whether the holder must observe again before it sends further orders. A
	 * refusal does not end the round, so that one engine cannot block the others.
	 * @return {@code true} if the result is unknown or the fencing token was stale
	 */
	public boolean endsRound() {
		return this.result instanceof StepResult.Unknown || fenced();
	}

	/**
	 * Returns whether the holder has lost its lease.
	 * @return {@code true} if the fencing token was stale
	 */
	public boolean fenced() {
		return this.result instanceof StepResult.Fenced;
	}

}
