package io.bulrushrouter.evacuation;

import java.util.Objects;
import java.util.Optional;

import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.GroupId;
import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * An upstream as the configuration describes it.
 *
 * @param id the upstream
 * @param dataCentre where it is
 * @param model the model or plain service that it serves
 * @param group its rank group, or empty if it works alone
 * @param capacity how many requests it can carry at once; for a rank, its share of the
 * group's
 */
public record FleetUpstream(UpstreamId id, DataCentreId dataCentre, ModelId model, Optional<GroupId> group,
		int capacity) {

	/**
	 * Checks the parts.
	 */
	public FleetUpstream {
		Objects.requireNonNull(id);
		Objects.requireNonNull(dataCentre);
		Objects.requireNonNull(model);
		Objects.requireNonNull(group);
	}

	/**
	 * Returns what leaves together with this upstream.
	 * @return its group, or itself if it works alone
	 */
	public Target unit() {
		return this.group.map(Target::of).orElseGet(() -> Target.of(this.id));
	}

}
