package io.bulrushrouter.evacuation.reconcile;

/**
 * What became of an order.
 */
public sealed interface StepResult {

	/**
	 * The order is carried out, or was before.
	 */
	record Done() implements StepResult {
	}

	/**
	 * The engine refuses the order.
	 *
	 * @param reason what it says
	 */
	record Refused(String reason) implements StepResult {
	}

	/**
	 * The fencing number is old: another holder has taken over.
	 */
	record Fenced() implements StepResult {
	}

	/**
	 * No answer came: the order may or may not have been carried out.
	 *
	 * @param reason details for a person
	 */
	record Unknown(String reason) implements StepResult {
	}

}
