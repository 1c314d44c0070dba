package io.bulrushrouter.evacuation.reconcile;

/**
 * The result of an order.
 */
public sealed interface StepResult {

	/**
	 * The order was carried out, now or earlier.
	 */
	record Done() implements StepResult {
	}

	/**
	 * The engine refused the order.
	 *
	 * @param reason the reason that the engine gave
	 */
	record Refused(String reason) implements StepResult {
	}

	/**
	 * The fencing token is stale: another holder has taken over.
	 */
	record Fenced() implements StepResult {
	}

	/**
	 * The result is unknown: the order may or may not have been carried out.
	 *
	 * @param reason a description for operators
	 */
	record Unknown(String reason) implements StepResult {
	}

}
