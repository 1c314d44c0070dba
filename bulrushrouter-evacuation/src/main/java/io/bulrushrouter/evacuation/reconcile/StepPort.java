package io.bulrushrouter.evacuation.reconcile;

/**
 * Carries out orders: moves by the placements' conditional update, all others through the
 * upstream's sidecar.
 */
@FunctionalInterface
public interface StepPort {

	/**
	 * Carries out an order, unless a higher fencing number was seen.
	 * @param order the order
	 * @return what became of it
	 */
	StepResult carryOut(Step.Order order);

}
