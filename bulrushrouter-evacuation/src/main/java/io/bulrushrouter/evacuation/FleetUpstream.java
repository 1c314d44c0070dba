package io.bulrushrouter.evacuation;

import java.util.Objects;
import java.util.Optional;

import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.GroupId;
import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * An upstream as described by the configuration.
 *
 * @param id the upstream
 * @param dataCentre the data centre in which it runs
 * @param model the model or plain service that it serves
 * @param group its rank group, or empty if it belongs to none
 * @param capacity the maximum number of requests in flight; for a rank, its share of the
 * group's capacity
 */
public record FleetUpstream(UpstreamId id, DataCentreId dataCentre, ModelId model, Optional<GroupId> group,
		int capacity) {

	/**
	 * Rejects null components.
	 */
	public FleetUpstream {
		Objects.requireNonNull(id);
		Objects.requireNonNull(dataCentre);
		Objects.requireNonNull(model);
		Objects.requireNonNull(group);
	}

	/**
	 * Returns the unit with which this upstream leaves.
	 * @return its group, or the upstream itself if it belongs to no group
	 */
	public Target unit() {
		return this.group.map(Target::of).orElseGet(() -> Target.of(this.id));
	}

}
