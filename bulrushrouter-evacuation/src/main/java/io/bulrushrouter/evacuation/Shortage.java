package io.bulrushrouter.evacuation;

import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.ModelId;

/**
 * A lack of capacity for a model at a data centre.
 *
 * @param dataCentre the data centre
 * @param model the model or service
 * @param needed the peak number of requests in flight of the organisations placed there
 * @param left the number of requests that the remaining upstreams can serve at once
 */
public record Shortage(DataCentreId dataCentre, ModelId model, int needed, int left) {

	/**
	 * Returns whether another shortage is of the same model at the same data centre.
	 * @param other the other shortage
	 * @return whether model and data centre are the same
	 */
	public boolean sameLocation(Shortage other) {
		return this.dataCentre.equals(other.dataCentre) && this.model.equals(other.model);
	}

	@Override
	public String toString() {
		return this.model + " at " + this.dataCentre + " needs " + this.needed + " and has " + this.left;
	}

}
