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
 * The configuration of an upstream for one model.
 *
 * @param id the upstream's name
 * @param model the model or plain service that it serves; an upstream that serves several
 * has a spec for each
 * @param dataCentre the data centre in which it runs
 * @param group its rank group, if any
 * @param weight its capacity relative to the model's other upstreams, above 0
 */
public record UpstreamSpec(UpstreamId id, ModelId model, DataCentreId dataCentre, Optional<GroupId> group,
		double weight) {

	/**
	 * Creates a spec, and checks that its weight is above 0.
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
