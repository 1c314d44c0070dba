package io.bulrushrouter.evacuation;

import java.time.LocalDate;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * Validates a plan against the inventory.
 */
final class PlanValidation {

	private final EvacuationPlan plan;

	private final Fleet fleet;

	private final List<PlanError> errors = new ArrayList<>();

	private PlanValidation(EvacuationPlan plan, Fleet fleet) {
		this.plan = plan;
		this.fleet = fleet;
	}

	static List<PlanError> errors(EvacuationPlan plan, Fleet fleet) {
		PlanValidation validation = new PlanValidation(plan, fleet);
		validation.checkDepartures();
		validation.checkOrganisations();
		validation.checkStops();
		return List.copyOf(validation.errors);
	}

	private void checkDepartures() {
		Set<UpstreamId> seen = new HashSet<>();
		if (this.plan.departures().isEmpty()) {
			addError("departures", "is empty");
		}
		for (int i = 0; i < this.plan.departures().size(); i++) {
			Departure departure = this.plan.departures().get(i);
			String path = "departures[" + i + "]";
			checkTarget(path, departure.target());
			if (departure.by().isAfter(this.plan.date())) {
				addError(path + ".by", departure.by() + " is after the plan's date " + this.plan.date());
			}
			for (FleetUpstream member : this.fleet.members(departure.target())) {
				if (!seen.add(member.id())) {
					addError(path + ".target", "upstream " + member.id() + " is listed more than once");
				}
			}
		}
	}

	private void checkOrganisations() {
		Set<OrganisationId> seen = new HashSet<>();
		for (int i = 0; i < this.plan.organisations().size(); i++) {
			OrganisationId organisation = this.plan.organisations().get(i);
			String path = "organisations[" + i + "]";
			if (!this.fleet.organisations().contains(organisation)) {
				addError(path, "unknown organisation " + organisation);
			}
			if (!seen.add(organisation)) {
				addError(path, "organisation " + organisation + " is listed more than once");
			}
		}
	}

	private void checkStops() {
		Set<Target> seen = new HashSet<>();
		for (int i = 0; i < this.plan.stops().size(); i++) {
			PlannedStop stop = this.plan.stops().get(i);
			String path = "stops[" + i + "]";
			checkTarget(path, stop.target());
			if (!seen.add(stop.target())) {
				addError(path + ".target", "target " + stop.target() + " is listed more than once");
			}
			this.fleet.members(stop.target()).stream().findFirst().ifPresent((member) -> checkStop(path, stop, member));
		}
	}

	private void checkStop(String path, PlannedStop stop, FleetUpstream member) {
		Optional<LocalDate> deadline = this.plan.deadline(member);
		if (deadline.isEmpty()) {
			addError(path + ".target", stop.target() + " is not among the departures");
		}
		else if (stop.at().toLocalDate().isAfter(deadline.get())) {
			addError(path + ".at", stop.at() + " is after " + deadline.get() + ", the deadline of its departure");
		}
	}

	private void checkTarget(String path, Target target) {
		List<FleetUpstream> members = this.fleet.members(target);
		if (members.isEmpty()) {
			addError(path + ".target", "unknown " + target);
		}
		else if (!members.get(0).unit().equals(target)) {
			addError(path + ".target",
					target + " belongs to " + members.get(0).unit() + ", which can only leave as a whole");
		}
	}

	private void addError(String path, String message) {
		this.errors.add(new PlanError(path, message));
	}

}
