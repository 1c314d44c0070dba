package io.bulrushrouter.routing;

import java.util.Objects;
import java.util.Optional;

import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.GroupId;
import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * An upstream as it is configured.
 *
 * @param id its name
 * @param model a model or plain service that it serves; there is a spec for each
 * @param dataCentre where it runs
 * @param group its rank group, if it has one
 * @param weight its capacity relative to other upstreams of the model, above 0
 */
public record UpstreamSpec(UpstreamId id, ModelId model, DataCentreId dataCentre, Optional<GroupId> group,
		double weight) {

	/**
	 * Checks the parts.
	 */
	public UpstreamSpec {
		Objects.requireNonNull(id);
		Objects.requireNonNull(model);
		Objects.requireNonNull(dataCentre);
		Objects.requireNonNull(group);
		if (!(weight > 0)) {
			throw new BulrushException(ErrorCode.BAD_CONFIGURATION, "weight must be above 0: " + weight);
		}
	}

	boolean matchesExceptModel(UpstreamSpec other) {
		return this.id.equals(other.id) && this.dataCentre.equals(other.dataCentre) && this.group.equals(other.group)
				&& this.weight == other.weight;
	}

}
