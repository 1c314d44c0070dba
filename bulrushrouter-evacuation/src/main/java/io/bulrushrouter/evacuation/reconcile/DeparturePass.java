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
 * One pass over the upstreams and groups that are to leave.
 */
final class DeparturePass {

	private final Fleet fleet;

	private final ReconcilePolicy policy;

	private final EvacuationState intended;

	private final Observation observed;

	private final LocalDateTime now;

	private final long fence;

	private final Map<UpstreamId, UpstreamIntent> intents;

	private final Set<OrganisationId> moving;

	private final CapacityLedger ledger;

	private int leaving;

	DeparturePass(Fleet fleet, ReconcilePolicy policy, EvacuationState intended, Observation observed,
			LocalDateTime now, long fence) {
		this.fleet = fleet;
		this.policy = policy;
		this.intended = intended;
		this.observed = observed;
		this.now = now;
		this.fence = fence;
		this.intents = intended.intentsByUpstream();
		this.moving = MovePass.pending(intended, observed).keySet();
		this.ledger = fleet.ledger(observed.placements(), observed::running);
	}

	List<Step> steps() {
		List<Departing> units = units();
		this.leaving = (int) units.stream().filter(Departing::onItsWay).count();
		List<Step> steps = new ArrayList<>();
		units.forEach((unit) -> steps.addAll(steps(unit)));
		return steps;
	}

	private List<Departing> units() {
		List<Departing> units = new ArrayList<>();
		this.fleet.units().forEach((target, members) -> {
			UpstreamIntent intent = this.intents.get(members.get(0).id());
			if (intent != null && intent.state() != EndState.RUNNING) {
				units.add(new Departing(target, members, intent, this.observed));
			}
		});
		units.sort(Comparator.comparing(Departing::stopAtOrMin).thenComparing(Departing::target));
		return units;
	}

	private List<Step> steps(Departing unit) {
		if (unit.met()) {
			return List.of();
		}
		if (!this.observed.storeUp()) {
			return hold(unit, ShortfallReason.STORE_DOWN, "the store does not answer");
		}
		Optional<UpstreamId> silent = unit.silent();
		if (silent.isPresent()) {
			return hold(unit, ShortfallReason.UNREACHABLE, silent.get() + " does not answer");
		}
		return unit.has(Phase.RUNNING) ? close(unit) : finish(unit);
	}

	private List<Step> close(Departing unit) {
		if (!unit.begun()) {
			Optional<List<Step>> waiting = waiting(unit);
			if (waiting.isPresent()) {
				return waiting.get();
			}
			this.leaving++;
		}
		else {
			running(unit).forEach(this.ledger::removeCapacity);
		}
		return unit.in(Phase.RUNNING).<Step>map((id) -> new Step.SetLeaving(id, this.fence)).toList();
	}

	private Optional<List<Step>> waiting(Departing unit) {
		if (this.now.isBefore(unit.stopAtOrMin().minus(lead(unit)))) {
			return Optional.of(List.of());
		}
		Optional<String> staying = staying(unit);
		if (staying.isPresent()) {
			return Optional.of(hold(unit, ShortfallReason.ORGANISATIONS_FIRST, staying.get() + " has not moved"));
		}
		Optional<Shortage> shortage = shortage(unit);
		if (shortage.isPresent()) {
			return Optional.of(hold(unit, ShortfallReason.NO_CAPACITY, shortage.get().toString()));
		}
		if (this.leaving >= this.policy.unitsLeavingAtOnce()) {
			running(unit).forEach(this.ledger::addCapacity);
			return Optional.of(hold(unit, ShortfallReason.RATE_LIMITED, this.leaving + " are leaving"));
		}
		return Optional.empty();
	}

	private Duration lead(Departing unit) {
		return unit.stopAt().isPresent() ? this.policy.drainLead() : Duration.ZERO;
	}

	// An organisation that is to move away, and needs what the unit serves, is first.
	private Optional<String> staying(Departing unit) {
		FleetUpstream member = unit.members().get(0);
		return this.moving.stream()
			.filter((organisation) -> mayBeAt(organisation, member.dataCentre()))
			.filter((organisation) -> this.fleet.models(organisation).contains(member.model()))
			.map((organisation) -> organisation.value())
			.findFirst();
	}

	private boolean mayBeAt(OrganisationId organisation, DataCentreId dataCentre) {
		DataCentreId place = this.observed.placements().get(organisation);
		return place == null || place.equals(dataCentre);
	}

	// Tries the departure in the ledger, and takes it back if it cannot be.
	private Optional<Shortage> shortage(Departing unit) {
		FleetUpstream member = unit.members().get(0);
		running(unit).forEach(this.ledger::removeCapacity);
		Optional<Shortage> shortage = this.ledger.shortage(member.dataCentre(), member.model())
			.filter((found) -> !MovePass.accepted(this.intended, found));
		if (shortage.isPresent()) {
			running(unit).forEach(this.ledger::addCapacity);
		}
		return shortage;
	}

	private Stream<FleetUpstream> running(Departing unit) {
		return unit.members().stream().filter((member) -> this.observed.running(member.id()));
	}

	private List<Step> finish(Departing unit) {
		if (unit.state() == EndState.LEAVING) {
			return List.of();
		}
		if (unit.inFlight() > 0) {
			return this.now.isBefore(unit.stopAtOrMin()) ? List.of()
					: hold(unit, ShortfallReason.REQUESTS_RUNNING, unit.inFlight() + " requests are running");
		}
		List<Step> steps = new ArrayList<>();
		unit.refusal().ifPresent((refusal) -> steps.addAll(hold(unit, ShortfallReason.ENGINE_REFUSES, refusal)));
		if (unit.has(Phase.LEAVING)) {
			unit.in(Phase.LEAVING).forEach((id) -> steps.add(new Step.Unload(id, this.fence)));
		}
		else if (!this.now.isBefore(unit.stopAtOrMin())) {
			unit.in(Phase.UNLOADED).forEach((id) -> steps.add(new Step.StopUpstream(id, this.fence)));
		}
		return steps;
	}

	private List<Step> hold(Departing unit, ShortfallReason reason, String detail) {
		Target target = unit.target();
		return List.of(new Step.HoldStop(target, reason, detail, this.fence));
	}

}
