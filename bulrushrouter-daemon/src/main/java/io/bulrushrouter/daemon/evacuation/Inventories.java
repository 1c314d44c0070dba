package io.bulrushrouter.daemon.evacuation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.bulrushrouter.daemon.config.Configuration;
import io.bulrushrouter.daemon.config.Upstream;
import io.bulrushrouter.evacuation.Demand;
import io.bulrushrouter.evacuation.Fleet;
import io.bulrushrouter.evacuation.FleetUpstream;
import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.GroupId;
import io.bulrushrouter.kernel.ModelId;

/**
 * Creates the inventory of an evacuation from a configuration.
 */
public final class Inventories {

	private Inventories() {
	}

	/**
	 * Creates the inventory: all upstreams and the demands of all organisations.
	 * @param configuration the active configuration
	 * @return the inventory
	 */
	public static Fleet of(Configuration configuration) {
		List<Demand> demands = new ArrayList<>();
		configuration.organisations()
			.forEach((organisation) -> organisation.demands()
				.forEach((demand) -> demands
					.add(new Demand(organisation.id(), ModelId.of(demand.model()), demand.requests()))));
		return Fleet.of(configuration.upstreams().stream().map(Inventories::upstream).toList(), demands);
	}

	private static FleetUpstream upstream(Upstream upstream) {
		Optional<GroupId> group = Optional.of(upstream.group()).filter((name) -> !name.isEmpty()).map(GroupId::of);
		return new FleetUpstream(upstream.id(), DataCentreId.of(upstream.dataCentre()), upstream.models().get(0), group,
				upstream.capacity());
	}

}
