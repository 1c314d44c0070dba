package io.bulrushrouter.evacuation.reconcile;

import java.time.Duration;
import java.time.LocalDateTime;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import io.bulrushrouter.evacuation.CapacityLedger;
import io.bulrushrouter.evacuation.EndState;
import io.bulrushrouter.evacuation.EvacuationState;
import io.bulrushrouter.evacuation.Fleet;
import io.bulrushrouter.evacuation.FleetUpstream;
import io.bulrushrouter.evacuation.Shortage;
import io.bulrushrouter.evacuation.ShortfallReason;
import io.bulrushrouter.evacuation.Target;
import io.bulrushrouter.evacuation.UpstreamIntent;
import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * Decides the next steps of all upstreams and groups that are to leave, in the order of
 * their stop times. An instance is used for one pass only.
 */
final class DeparturePass {

	private final Fleet fleet;

	private final ReconcilePolicy policy;

	private final EvacuationState intended;

	private final Observation observed;

	private final LocalDateTime now;

	private final long fence;

	private final Map<UpstreamId, UpstreamIntent> intents;

	private final Set<OrganisationId> organisationsToMove;

	private final CapacityLedger ledger;

	private int departuresInProgress;

	DeparturePass(Fleet fleet, ReconcilePolicy policy, EvacuationState intended, Observation observed,
			LocalDateTime now, long fence) {
		this.fleet = fleet;
		this.policy = policy;
		this.intended = intended;
		this.observed = observed;
		this.now = now;
		this.fence = fence;
		this.intents = intended.intentsByUpstream();
		this.organisationsToMove = MovePass.pending(intended, observed).keySet();
		this.ledger = fleet.ledger(observed.placements(), observed::running);
	}

	List<Step> steps() {
		List<DepartingUnit> units = units();
		this.departuresInProgress = (int) units.stream().filter(DepartingUnit::departureInProgress).count();
		List<Step> steps = new ArrayList<>();
		units.forEach((unit) -> steps.addAll(steps(unit)));
		return steps;
	}

	private List<DepartingUnit> units() {
		List<DepartingUnit> units = new ArrayList<>();
		this.fleet.units().forEach((target, members) -> {
			UpstreamIntent intent = this.intents.get(members.get(0).id());
			if (intent != null && intent.state() != EndState.RUNNING) {
				units.add(new DepartingUnit(target, members, intent, this.observed));
			}
		});
		units.sort(Comparator.comparing(DepartingUnit::stopAtOrMin).thenComparing(DepartingUnit::target));
		return units;
	}

	private List<Step> steps(DepartingUnit unit) {
		if (unit.intentMet()) {
			return List.of();
		}
		if (!this.observed.storeUp()) {
			return hold(unit, ShortfallReason.STORE_DOWN, "the store is unavailable");
		}
		Optional<UpstreamId> unreachable = unit.unreachableMember();
		if (unreachable.isPresent()) {
			return hold(unit, ShortfallReason.UNREACHABLE, unreachable.get() + ": the sidecar does not answer");
		}
		return unit.hasMemberIn(Phase.RUNNING) ? closeGates(unit) : unloadOrStop(unit);
	}

	private List<Step> closeGates(DepartingUnit unit) {
		if (!unit.departureStarted()) {
			Optional<List<Step>> deferred = deferDeparture(unit);
			if (deferred.isPresent()) {
				return deferred.get();
			}
			this.departuresInProgress++;
		}
		else {
			runningMembers(unit).forEach(this.ledger::removeCapacity);
		}
		return unit.membersIn(Phase.RUNNING).<Step>map((id) -> new Step.SetLeaving(id, this.fence)).toList();
	}

	// Returns the steps to take instead while the departure has to wait, or empty if
	// it may begin. In that case its capacity is already withdrawn from the ledger.
	private Optional<List<Step>> deferDeparture(DepartingUnit unit) {
		if (this.now.isBefore(unit.stopAtOrMin().minus(drainLead(unit)))) {
			return Optional.of(List.of());
		}
		Optional<String> organisation = organisationStillToMove(unit);
		if (organisation.isPresent()) {
			return Optional.of(hold(unit, ShortfallReason.ORGANISATIONS_FIRST,
					organisation.get() + ": the organisation has not moved"));
		}
		Optional<Shortage> shortage = withdrawCapacity(unit);
		if (shortage.isPresent()) {
			return Optional.of(hold(unit, ShortfallReason.NO_CAPACITY, shortage.get().toString()));
		}
		if (this.departuresInProgress >= this.policy.maxConcurrentDepartures()) {
			runningMembers(unit).forEach(this.ledger::addCapacity);
			return Optional
				.of(hold(unit, ShortfallReason.RATE_LIMITED, this.departuresInProgress + " units are leaving"));
		}
		return Optional.empty();
	}

	private Duration drainLead(DepartingUnit unit) {
		return unit.stopAt().isPresent() ? this.policy.drainLead() : Duration.ZERO;
	}

	// Finds an organisation that still has to move away and uses the unit's model: it
	// must move before the unit may leave.
	private Optional<String> organisationStillToMove(DepartingUnit unit) {
		FleetUpstream member = unit.members().get(0);
		return this.organisationsToMove.stream()
			.filter((organisation) -> mayBePlacedIn(organisation, member.dataCentre()))
			.filter((organisation) -> this.fleet.models(organisation).contains(member.model()))
			.map((organisation) -> organisation.value())
			.findFirst();
	}

	private boolean mayBePlacedIn(OrganisationId organisation, DataCentreId dataCentre) {
		DataCentreId current = this.observed.placements().get(organisation);
		return current == null || current.equals(dataCentre);
	}

	// Withdraws the unit's capacity from the ledger. If that leaves a shortage nobody
	// has accepted, restores it and returns the shortage.
	private Optional<Shortage> withdrawCapacity(DepartingUnit unit) {
		FleetUpstream member = unit.members().get(0);
		runningMembers(unit).forEach(this.ledger::removeCapacity);
		Optional<Shortage> shortage = this.ledger.shortage(member.dataCentre(), member.model())
			.filter((candidate) -> !MovePass.accepted(this.intended, candidate));
		if (shortage.isPresent()) {
			runningMembers(unit).forEach(this.ledger::addCapacity);
		}
		return shortage;
	}

	private Stream<FleetUpstream> runningMembers(DepartingUnit unit) {
		return unit.members().stream().filter((member) -> this.observed.running(member.id()));
	}

	private List<Step> unloadOrStop(DepartingUnit unit) {
		if (unit.state() == EndState.LEAVING) {
			return List.of();
		}
		if (unit.inFlight() > 0) {
			return this.now.isBefore(unit.stopAtOrMin()) ? List.of()
					: hold(unit, ShortfallReason.REQUESTS_RUNNING, unit.inFlight() + " requests are running");
		}
		List<Step> steps = new ArrayList<>();
		unit.refusal().ifPresent((refusal) -> steps.addAll(hold(unit, ShortfallReason.ENGINE_REFUSES, refusal)));
		if (unit.hasMemberIn(Phase.LEAVING)) {
			unit.membersIn(Phase.LEAVING).forEach((id) -> steps.add(new Step.Unload(id, this.fence)));
		}
		else if (!this.now.isBefore(unit.stopAtOrMin())) {
			unit.membersIn(Phase.UNLOADED).forEach((id) -> steps.add(new Step.StopUpstream(id, this.fence)));
		}
		return steps;
	}

	private List<Step> hold(DepartingUnit unit, ShortfallReason reason, String detail) {
		Target target = unit.target();
		return List.of(new Step.HoldStop(target, reason, detail, this.fence));
	}

}
