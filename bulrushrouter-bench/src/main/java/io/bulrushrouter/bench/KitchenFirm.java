package io.bulrushrouter.bench;

import java.time.LocalDate;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.bulrushrouter.evacuation.Demand;
import io.bulrushrouter.evacuation.EvacuationPlan;
import io.bulrushrouter.evacuation.Fleet;
import io.bulrushrouter.evacuation.FleetUpstream;
import io.bulrushrouter.evacuation.Target;
import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.GroupId;
import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * The sample company of the evacuation week, called the kitchen firm: 12 model runners in
 * six groups and 3 booking runners over three data centres, and 10 organisations. Two of
 * the data centres are in the building that is evacuated.
 */
final class KitchenFirm {

	static final LocalDate MONDAY = LocalDate.of(2026, 11, 2);

	static final LocalDate FRIDAY = MONDAY.plusDays(4);

	static final ModelId ASSISTANT = ModelId.of("assistant");

	static final ModelId BOOKING = ModelId.of("booking");

	private static final List<String> DATA_CENTRES = List.of("bratislava-1", "bratislava-2", "trnava-1");

	private static final List<String> ORGANISATIONS = List.of("pekaren-zlaty-klas", "rodinne-torty", "kavej-catering",
			"street-bistro", "slavnostne-menu", "domaca-kuchyna", "cukraren-malina", "burger-kamion", "vegan-na-ceste",
			"polievkaren");

	// The first three organisations have the largest demand.
	private static final int[] ASSISTANT_REQUESTS = { 6, 5, 4, 2, 2, 2, 2, 2, 2, 2 };

	private static final int[] BOOKING_REQUESTS = { 2, 2, 2, 1, 1, 1, 1, 1, 0, 1 };

	private static final int RANK_CAPACITY = 8;

	private static final int BOOKING_CAPACITY = 12;

	private static final int GROUPS_PER_DATA_CENTRE = 2;

	private static final int RANKS_PER_GROUP = 2;

	private KitchenFirm() {
	}

	static Fleet fleet() {
		List<FleetUpstream> upstreams = new ArrayList<>();
		for (String name : DATA_CENTRES) {
			DataCentreId dataCentre = DataCentreId.of(name);
			upstreams.add(new FleetUpstream(UpstreamId.of("booking-" + name), dataCentre, BOOKING, Optional.empty(),
					BOOKING_CAPACITY));
			for (int group = 1; group <= GROUPS_PER_DATA_CENTRE; group++) {
				for (int rank = 0; rank < RANKS_PER_GROUP; rank++) {
					upstreams.add(new FleetUpstream(UpstreamId.of("runner-" + name + "-g" + group + "-r" + rank),
							dataCentre, ASSISTANT, Optional.of(GroupId.of(name + "-g" + group)), RANK_CAPACITY));
				}
			}
		}
		return Fleet.of(upstreams, demands());
	}

	private static List<Demand> demands() {
		List<Demand> demands = new ArrayList<>();
		for (int i = 0; i < ORGANISATIONS.size(); i++) {
			OrganisationId organisation = OrganisationId.of(ORGANISATIONS.get(i));
			demands.add(new Demand(organisation, ASSISTANT, ASSISTANT_REQUESTS[i]));
			demands.add(new Demand(organisation, BOOKING, BOOKING_REQUESTS[i]));
		}
		return demands;
	}

	// Places four organisations in each data centre of the building and two outside it.
	static Map<OrganisationId, DataCentreId> placements() {
		Map<OrganisationId, DataCentreId> placements = new TreeMap<>();
		for (int i = 0; i < ORGANISATIONS.size(); i++) {
			placements.put(OrganisationId.of(ORGANISATIONS.get(i)), DataCentreId.of(DATA_CENTRES.get(i / 4)));
		}
		return placements;
	}

	static EvacuationPlan plan() {
		EvacuationPlan.Builder plan = EvacuationPlan.builder("building-bratislava", FRIDAY)
			.departure(Target.of("group/bratislava-1-g2"), MONDAY)
			.departure(Target.of("group/bratislava-1-g1"), MONDAY.plusDays(1))
			.departure(Target.of("upstream/booking-bratislava-1"), MONDAY.plusDays(1))
			.departure(Target.of("group/bratislava-2-g2"), MONDAY.plusDays(2))
			.departure(Target.of("group/bratislava-2-g1"), FRIDAY)
			.departure(Target.of("upstream/booking-bratislava-2"), FRIDAY)
			.stop(Target.of("group/bratislava-1-g2"), MONDAY.atTime(14, 0))
			.stop(Target.of("group/bratislava-1-g1"), MONDAY.plusDays(1).atTime(13, 0))
			.stop(Target.of("group/bratislava-2-g2"), MONDAY.plusDays(2).atTime(14, 0));
		ORGANISATIONS.subList(0, 8).forEach((name) -> plan.organisation(OrganisationId.of(name)));
		return plan.build();
	}

}
