package io.bulrushrouter.evacuation;

import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.ModelId;

/**
 * A data centre whose upstreams cannot carry the organisations placed there.
 *
 * @param dataCentre the data centre
 * @param model the model or service
 * @param needed how many requests the organisations have in the air at their peak
 * @param left how many the upstreams that remain can carry at once
 */
public record Shortage(DataCentreId dataCentre, ModelId model, int needed, int left) {

	/**
	 * Tells whether this is a shortage of the same model at the same data centre.
	 * @param other another shortage
	 * @return whether both name one place
	 */
	public boolean sameLocation(Shortage other) {
		return this.dataCentre.equals(other.dataCentre) && this.model.equals(other.model);
	}

	@Override
	public String toString() {
		return this.model + " at " + this.dataCentre + " needs " + this.needed + " and has " + this.left;
	}

}
