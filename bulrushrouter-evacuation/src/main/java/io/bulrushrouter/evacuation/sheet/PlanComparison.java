package io.bulrushrouter.evacuation.sheet;

import java.time.LocalDate;
import java.time.LocalDateTime;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import io.bulrushrouter.evacuation.EndState;
import io.bulrushrouter.evacuation.EvacuationPlan;
import io.bulrushrouter.evacuation.EvacuationState;
import io.bulrushrouter.evacuation.Fleet;
import io.bulrushrouter.evacuation.FleetUpstream;
import io.bulrushrouter.evacuation.UpstreamIntent;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * Compares a sheet with the plan and with the state that is already intended.
 */
final class PlanComparison {

	private final Fleet fleet;

	private final EvacuationState state;

	private final EvacuationPlan plan;

	private final MorningSheet sheet;

	private final Map<UpstreamId, UpstreamIntent> intents;

	private final List<Contradiction> contradictions = new ArrayList<>();

	PlanComparison(Fleet fleet, EvacuationState state, SheetRequest request, Map<UpstreamId, UpstreamIntent> intents) {
		this.fleet = fleet;
		this.state = state;
		this.plan = state.plan();
		this.sheet = request.sheet();
		this.intents = intents;
	}

	List<Contradiction> contradictions() {
		if (this.plan.cancelled()) {
			add(Contradiction.Kind.PLAN_CANCELLED, 0, "the plan " + this.plan.name() + " is cancelled");
		}
		Map<UpstreamId, UpstreamIntent> before = this.state.intentsByUpstream();
		for (SheetRow.Departure row : this.sheet.rows(SheetRow.Departure.class)) {
			FleetUpstream member = this.fleet.members(row.target()).get(0);
			checkReversal(row, before.get(member.id()));
			checkInPlan(row, member);
			checkStopHour(row, member);
		}
		checkDeadlines();
		checkOrganisationOrder();
		return this.contradictions;
	}

	private void checkReversal(SheetRow.Departure row, UpstreamIntent before) {
		if (before != null && row.state().compareTo(before.state()) < 0) {
			add(Contradiction.Kind.REVERSAL, row.line(),
					row.target() + " is intended to be " + before.state().text() + " already");
		}
	}

	private void checkInPlan(SheetRow.Departure row, FleetUpstream member) {
		if (row.state() != EndState.RUNNING && this.plan.deadline(member).isEmpty()) {
			add(Contradiction.Kind.NOT_IN_PLAN, row.line(),
					"the plan does not include " + row.target() + " in its departures");
		}
	}

	private void checkStopHour(SheetRow.Departure row, FleetUpstream member) {
		Optional<LocalDateTime> planned = this.plan.stopAt(member)
			.filter((at) -> at.toLocalDate().equals(this.sheet.date()));
		Optional<LocalDateTime> requested = row.stopHour().map((hour) -> this.sheet.date().atTime(hour));
		if (planned.isPresent() && row.state() == EndState.GONE && !planned.equals(requested)) {
			add(Contradiction.Kind.OTHER_STOP_HOUR, row.line(),
					"the plan schedules the stop of " + row.target() + " at " + planned.get().toLocalTime());
		}
	}

	private void checkDeadlines() {
		Map<String, Integer> lines = new HashMap<>();
		this.sheet.rows(SheetRow.Departure.class).forEach((row) -> lines.put(row.subject(), row.line()));
		this.fleet.units().forEach((unit, members) -> {
			Optional<LocalDate> deadline = this.plan.deadline(members.get(0));
			boolean due = deadline.isPresent() && !deadline.get().isAfter(this.sheet.date());
			if (due && !isGone(members.get(0))) {
				add(Contradiction.Kind.LATER_THAN_PLAN, lines.getOrDefault(unit.text(), 0),
						"the plan requires " + unit + " to be gone by " + deadline.get());
			}
		});
	}

	private boolean isGone(FleetUpstream member) {
		UpstreamIntent intent = this.intents.get(member.id());
		return intent != null && intent.state() == EndState.GONE;
	}

	private void checkOrganisationOrder() {
		Set<OrganisationId> moved = new TreeSet<>(this.state.placementsByOrganisation().keySet());
		List<SheetRow.Move> moves = this.sheet.rows(SheetRow.Move.class);
		moves.forEach((move) -> moved.add(move.organisation()));
		for (SheetRow.Move move : moves) {
			int position = this.plan.organisations().indexOf(move.organisation());
			this.plan.organisations()
				.subList(0, Math.max(0, position))
				.stream()
				.filter((earlier) -> !moved.contains(earlier))
				.findFirst()
				.ifPresent((earlier) -> add(Contradiction.Kind.ORGANISATION_ORDER, move.line(),
						move.organisation() + " must move after " + earlier + ", which has not moved yet"));
		}
	}

	private void add(Contradiction.Kind kind, int line, String message) {
		this.contradictions.add(new Contradiction(kind, line, message));
	}

}
