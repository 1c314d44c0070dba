package io.bulrushrouter.evacuation.reconcile;

import java.util.List;

/**
 * Queries upstreams and sends them orders through their sidecars. A sidecar rejects an
 * order whose fencing token is lower than the highest one that it has seen or read from
 * the platform.
 */
public interface UpstreamPort {

	/**
	 * Queries the state of all upstreams.
	 * @return the states of the upstreams whose sidecars answered in time
	 */
	List<ObservedUpstream> observe();

	/**
	 * Sends an order to an upstream and waits for its result.
	 * @param order the order
	 * @return the result
	 */
	StepResult carryOut(Step.UpstreamOrder order);

}
