package io.bulrushrouter.gateway.upstream;

import java.util.Locale;

/**
 * Why an upstream would or would not be chosen for a request.
 *
 * @param id the upstream's identifier
 * @param dataCentre its data centre
 * @param exclusion why it takes no part
 * @param inFlight this entry's requests in flight there
 * @param capacity its learned capacity, 1 at the mean of its service
 * @param choiceShare the part of the choices in which it takes part as usual
 * @param loadCost the cost of the requests in flight
 * @param failureCost the cost of recent failures
 * @param distanceCost the cost of another data centre
 * @param withheldCost the cost that is added in the other choices
 */
public record UpstreamExplanation(String id, String dataCentre, UpstreamSelector.Exclusion exclusion, int inFlight,
		double capacity, double choiceShare, double loadCost, double failureCost, double distanceCost,
		double withheldCost) {

	/**
	 * Returns whether the upstream cannot be chosen.
	 * @return whether there is a reason to exclude it
	 */
	public boolean isExcluded() {
		return this.exclusion != UpstreamSelector.Exclusion.NONE;
	}

	/**
	 * Returns the sum of the costs without the random part.
	 * @return the cost in a choice in which it takes part as usual
	 */
	public double cost() {
		return this.loadCost + this.failureCost + this.distanceCost;
	}

	/**
	 * Returns this explanation as text.
	 * @return a line without its end
	 */
	public String text() {
		return String.format(Locale.ROOT,
				"upstream=%s data-centre=%s excluded=%s in-flight=%d capacity=%.2f choice-share=%.2f cost=%.2f "
						+ "load-cost=%.2f failure-cost=%.2f distance-cost=%.2f withheld-cost=%.2f",
				this.id, this.dataCentre, this.exclusion.name().toLowerCase(Locale.ROOT), this.inFlight, this.capacity,
				this.choiceShare, cost(), this.loadCost, this.failureCost, this.distanceCost, this.withheldCost);
	}

}
