package io.bulrushrouter.evacuation.sheet;

import java.time.LocalDate;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

import io.bulrushrouter.evacuation.EndState;
import io.bulrushrouter.evacuation.EvacuationState;
import io.bulrushrouter.evacuation.Fleet;
import io.bulrushrouter.evacuation.FleetUpstream;
import io.bulrushrouter.evacuation.Placement;
import io.bulrushrouter.evacuation.Shortage;
import io.bulrushrouter.evacuation.UpstreamIntent;
import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * Applies a sheet to a state. This is a pure function; the caller writes the new state by
 * one conditional update.
 *
 * <pre>{@code
 * SheetOutcome outcome = SheetApplier.of(fleet).apply(state, request);
 * if (outcome instanceof SheetOutcome.Applied applied) {
 *     store.write(read, applied.state(), request.change().mark());
 * }
 * }</pre>
 */
public final class SheetApplier {

	private final Fleet fleet;

	private SheetApplier(Fleet fleet) {
		this.fleet = fleet;
	}

	/**
	 * Returns an applier for an inventory.
	 * @param fleet the inventory
	 * @return the applier
	 */
	public static SheetApplier of(Fleet fleet) {
		return new SheetApplier(fleet);
	}

	/**
	 * Applies a sheet.
	 * @param state the state as it was read
	 * @param request the sheet, who applies it, and whether risks are accepted
	 * @return the outcome, with the new state if the sheet can be applied
	 */
	public SheetOutcome apply(EvacuationState state, SheetRequest request) {
		MorningSheet sheet = request.sheet();
		Optional<LocalDate> applied = state.sheetDate();
		if (applied.isPresent() && applied.get().isAfter(sheet.date())) {
			return new SheetOutcome.StaleDate(sheet.date(), applied.get());
		}
		if (applied.equals(Optional.of(sheet.date())) && state.sheetDigest().equals(sheet.digest())) {
			return new SheetOutcome.Unchanged();
		}
		return validateAndApply(state, request);
	}

	private SheetOutcome validateAndApply(EvacuationState state, SheetRequest request) {
		Map<UpstreamId, UpstreamIntent> intents = intents(state, request.sheet());
		Map<OrganisationId, DataCentreId> placements = new TreeMap<>(state.placementsByOrganisation());
		request.sheet().rows(SheetRow.Move.class).forEach((move) -> placements.put(move.organisation(), move.to()));
		List<Contradiction> contradictions = new PlanComparison(this.fleet, state, request, intents).contradictions();
		boolean fatal = contradictions.stream().anyMatch((contradiction) -> !contradiction.acceptable());
		if (fatal || (!contradictions.isEmpty() && !request.acceptRisk())) {
			return new SheetOutcome.Contradicted(contradictions);
		}
		List<Shortage> shortages = shortages(request, placements, intents);
		if (!shortages.isEmpty() && !request.acceptRisk()) {
			return new SheetOutcome.InsufficientCapacity(shortages);
		}
		return newState(state, request, new Intentions(intents, placements), contradictions, shortages);
	}

	private Map<UpstreamId, UpstreamIntent> intents(EvacuationState state, MorningSheet sheet) {
		Map<UpstreamId, UpstreamIntent> intents = state.intentsByUpstream();
		for (SheetRow.Departure row : sheet.rows(SheetRow.Departure.class)) {
			for (FleetUpstream member : this.fleet.members(row.target())) {
				intents.put(member.id(), new UpstreamIntent(member.id(), row.state(),
						row.stopHour().map((hour) -> sheet.date().atTime(hour))));
			}
		}
		return intents;
	}

	private List<Shortage> shortages(SheetRequest request, Map<OrganisationId, DataCentreId> placements,
			Map<UpstreamId, UpstreamIntent> intents) {
		Map<OrganisationId, DataCentreId> endOfDay = new TreeMap<>(request.currentPlacements());
		endOfDay.putAll(placements);
		return this.fleet.ledger(endOfDay, (upstream) -> isRunning(intents, upstream)).shortages();
	}

	private static boolean isRunning(Map<UpstreamId, UpstreamIntent> intents, UpstreamId upstream) {
		UpstreamIntent intent = intents.get(upstream);
		return intent == null || intent.state() == EndState.RUNNING;
	}

	private static SheetOutcome newState(EvacuationState state, SheetRequest request, Intentions intentions,
			List<Contradiction> contradictions, List<Shortage> shortages) {
		List<String> risks = Stream
			.concat(contradictions.stream().map(Contradiction::toString),
					shortages.stream().map((shortage) -> "too-little-capacity: " + shortage))
			.toList();
		List<Placement> placements = new ArrayList<>();
		intentions.placements()
			.forEach((organisation, dataCentre) -> placements.add(new Placement(organisation, dataCentre)));
		EvacuationState next = new EvacuationState(state.plan(), Optional.of(request.sheet().date()),
				request.sheet().digest(), List.copyOf(intentions.intents().values()), placements, shortages, risks,
				EvacuationState.append(state.history(), request.change()));
		return new SheetOutcome.Applied(next, risks);
	}

	/**
	 * The combined intentions of this sheet and the sheets before it.
	 *
	 * @param intents the intent for each upstream
	 * @param placements the data centre to which each organisation moves
	 */
	private record Intentions(Map<UpstreamId, UpstreamIntent> intents, Map<OrganisationId, DataCentreId> placements) {
	}

}
