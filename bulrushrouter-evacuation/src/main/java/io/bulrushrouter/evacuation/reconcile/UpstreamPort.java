package io.bulrushrouter.evacuation.reconcile;

import java.util.List;

/**
 * Asks and orders upstreams through their sidecars. A sidecar refuses an order with a
 * fencing number that is lower than the highest it has seen or read from the platform.
 */
public interface UpstreamPort {

	/**
	 * Asks all upstreams.
	 * @return what those said that answered in time
	 */
	List<ObservedUpstream> observe();

	/**
	 * Carries out an order to an upstream.
	 * @param order the order
	 * @return what became of it
	 */
	StepResult carryOut(Step.UpstreamOrder order);

}
