package io.bulrushrouter.evacuation;

import java.time.Instant;
import java.time.LocalDate;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.GroupId;
import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * A small fleet for tests: a group of two ranks and a plain service leave data centre
 * {@code old}, while the same services stay in {@code new}, to which two organisations
 * move.
 */
public final class TestFleet {

	/** The date of the sheet and the plan. */
	public static final LocalDate DAY = LocalDate.of(2026, 11, 2);

	/** The data centre that serves the organisations at first. */
	public static final DataCentreId OLD = DataCentreId.of("old");

	/** The data centre to which the organisations move. */
	public static final DataCentreId NEW = DataCentreId.of("new");

	/** The first organisation in the plan's order. */
	public static final OrganisationId FIRST = OrganisationId.of("zeta");

	/** The second organisation in the plan's order. */
	public static final OrganisationId SECOND = OrganisationId.of("alpha");

	/** The inventory. */
	public static final Fleet FLEET = fleet();

	private TestFleet() {
	}

	private static Fleet fleet() {
		List<FleetUpstream> upstreams = new ArrayList<>();
		for (DataCentreId dataCentre : List.of(OLD, NEW)) {
			upstreams.add(upstream("rank-0-" + dataCentre, dataCentre, "assistant", Optional.of("g-" + dataCentre)));
			upstreams.add(upstream("rank-1-" + dataCentre, dataCentre, "assistant", Optional.of("g-" + dataCentre)));
			upstreams.add(upstream("booking-" + dataCentre, dataCentre, "booking", Optional.empty()));
		}
		List<Demand> demands = new ArrayList<>();
		for (OrganisationId organisation : List.of(FIRST, SECOND)) {
			demands.add(new Demand(organisation, ModelId.of("assistant"), 8));
			demands.add(new Demand(organisation, ModelId.of("booking"), 4));
		}
		return Fleet.of(upstreams, demands);
	}

	private static FleetUpstream upstream(String name, DataCentreId dataCentre, String model, Optional<String> group) {
		return new FleetUpstream(UpstreamId.of(name), dataCentre, ModelId.of(model), group.map(GroupId::of), 8);
	}

	/**
	 * Returns a plan to evacuate all of {@code old} by {@link #DAY}.
	 * @return the plan
	 */
	public static EvacuationPlan plan() {
		return EvacuationPlan.builder("hall", DAY)
			.departure(Target.of("group/g-old"), DAY)
			.departure(Target.of("upstream/booking-old"), DAY)
			.organisation(FIRST)
			.organisation(SECOND)
			.stop(Target.of("group/g-old"), DAY.atTime(14, 0))
			.build();
	}

	/**
	 * Returns the initial placements of the organisations.
	 * @return the placements
	 */
	public static Map<OrganisationId, DataCentreId> placements() {
		return Map.of(FIRST, OLD, SECOND, OLD);
	}

	/**
	 * Returns a history entry for a change by an operator.
	 * @param writeId the identifier of the write
	 * @return the change
	 */
	public static Change change(String writeId) {
		return new Change(writeId, "operator-" + writeId, Instant.EPOCH, "planned", "change " + writeId);
	}

	/**
	 * Returns a sheet by which all of {@code old} is gone at the end of the day.
	 * @return the CSV text
	 */
	public static String sheet() {
		return """
				date,kind,name,state,stop-hour,to,note
				2026-11-02,organisation,zeta,moved,,new,
				2026-11-02,organisation,alpha,moved,,new,
				2026-11-02,group,g-old,gone,14:00,,"both ranks, together"
				2026-11-02,upstream,booking-old,gone,,,
				,end,4,,,,
				""";
	}

}
