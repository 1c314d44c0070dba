package io.bulrushrouter.evacuation.reconcile;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.bulrushrouter.evacuation.CapacityLedger;
import io.bulrushrouter.evacuation.EvacuationState;
import io.bulrushrouter.evacuation.Fleet;
import io.bulrushrouter.evacuation.Shortage;
import io.bulrushrouter.evacuation.ShortfallReason;
import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.OrganisationId;

/**
 * Decides the next moves of organisations to other data centres, in the order of the
 * plan. An instance is used for one pass only.
 */
final class MovePass {

	private final Fleet fleet;

	private final ReconcilePolicy policy;

	private final EvacuationState intended;

	private final Observation observed;

	private final long fence;

	private final CapacityLedger ledger;

	MovePass(Fleet fleet, ReconcilePolicy policy, EvacuationState intended, Observation observed, long fence) {
		this.fleet = fleet;
		this.policy = policy;
		this.intended = intended;
		this.observed = observed;
		this.fence = fence;
		this.ledger = fleet.ledger(observed.placements(), observed::running);
	}

	// Stops at the first held move, because organisations have to move in the plan's
	// order.
	List<Step> steps() {
		List<Step> steps = new ArrayList<>();
		Map<OrganisationId, DataCentreId> pending = pending(this.intended, this.observed);
		for (OrganisationId organisation : inPlanOrder(pending)) {
			if (steps.size() == this.policy.maxMovesPerPass()) {
				break;
			}
			Step step = moveOrHold(organisation, pending.get(organisation));
			steps.add(step);
			if (step instanceof Step.HoldMove) {
				break;
			}
		}
		return steps;
	}

	static Map<OrganisationId, DataCentreId> pending(EvacuationState intended, Observation observed) {
		Map<OrganisationId, DataCentreId> pending = new TreeMap<>(intended.placementsByOrganisation());
		pending.entrySet().removeIf((entry) -> entry.getValue().equals(observed.placements().get(entry.getKey())));
		return pending;
	}

	private List<OrganisationId> inPlanOrder(Map<OrganisationId, DataCentreId> pending) {
		Map<OrganisationId, Integer> order = new HashMap<>();
		this.intended.plan().organisations().forEach((organisation) -> order.put(organisation, order.size()));
		return pending.keySet()
			.stream()
			.sorted(Comparator.comparingInt((organisation) -> order.getOrDefault(organisation, order.size())))
			.toList();
	}

	private Step moveOrHold(OrganisationId organisation, DataCentreId to) {
		Optional.ofNullable(this.observed.placements().get(organisation))
			.ifPresent((from) -> this.ledger.removeDemand(organisation, from));
		this.ledger.addDemand(organisation, to);
		if (!this.observed.storeUp()) {
			return new Step.HoldMove(organisation, ShortfallReason.STORE_DOWN, "the store is unavailable", this.fence);
		}
		return shortage(organisation, to)
			.<Step>map((shortage) -> new Step.HoldMove(organisation, ShortfallReason.NO_CAPACITY, shortage.toString(),
					this.fence))
			.orElseGet(() -> new Step.MoveOrganisation(organisation, to, this.fence));
	}

	private Optional<Shortage> shortage(OrganisationId organisation, DataCentreId to) {
		return this.fleet.models(organisation)
			.stream()
			.flatMap((model) -> this.ledger.shortage(to, model).stream())
			.filter((shortage) -> !accepted(this.intended, shortage))
			.findFirst();
	}

	// An operator may accept reduced capacity, but never a data centre without any
	// capacity for an organisation that is placed there.
	static boolean accepted(EvacuationState intended, Shortage shortage) {
		return shortage.left() > 0
				&& intended.acceptedShortages().stream().anyMatch((accepted) -> accepted.sameLocation(shortage));
	}

}
