package io.bulrushrouter.evacuation.reconcile;

import java.time.LocalDateTime;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import io.bulrushrouter.evacuation.EndState;
import io.bulrushrouter.evacuation.FleetUpstream;
import io.bulrushrouter.evacuation.Target;
import io.bulrushrouter.evacuation.UpstreamIntent;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * An upstream or rank group that is to leave its data centre, with the observed state of
 * its members. The members of a group leave together.
 *
 * @param target the upstream or group
 * @param members the upstreams of the unit
 * @param intent the intended state, which all members share
 * @param observed the observation of the whole fleet
 */
record DepartingUnit(Target target, List<FleetUpstream> members, UpstreamIntent intent, Observation observed) {

	EndState state() {
		return this.intent.state();
	}

	Optional<LocalDateTime> stopAt() {
		return this.intent.stopAt();
	}

	LocalDateTime stopAtOrMin() {
		return stopAt().orElse(LocalDateTime.MIN);
	}

	Stream<ObservedUpstream> observedMembers() {
		return this.members.stream().flatMap((member) -> this.observed.find(member.id()).stream());
	}

	Stream<UpstreamId> membersIn(Phase phase) {
		return observedMembers().filter((upstream) -> upstream.phase() == phase).map(ObservedUpstream::upstream);
	}

	boolean hasMemberIn(Phase phase) {
		return membersIn(phase).findAny().isPresent();
	}

	Optional<UpstreamId> unreachableMember() {
		return this.members.stream()
			.map(FleetUpstream::id)
			.filter((id) -> this.observed.find(id).isEmpty())
			.findFirst();
	}

	// Once one rank has been ordered to leave, the others must follow.
	boolean departureStarted() {
		return observedMembers().anyMatch((upstream) -> upstream.phase() != Phase.RUNNING);
	}

	boolean intentMet() {
		Phase required = (state() == EndState.GONE) ? Phase.STOPPED : Phase.LEAVING;
		return unreachableMember().isEmpty()
				&& observedMembers().allMatch((upstream) -> upstream.phase().compareTo(required) >= 0);
	}

	// A unit whose engine refuses its order does not count towards the limit on
	// concurrent departures, so that it cannot block the others.
	boolean departureInProgress() {
		return state() == EndState.GONE && departureStarted() && !intentMet() && refusal().isEmpty();
	}

	// All ranks of a group run the same requests, so the counts must not be added up.
	int inFlight() {
		return observedMembers().mapToInt(ObservedUpstream::inFlight).max().orElse(0);
	}

	Optional<String> refusal() {
		return observedMembers().flatMap((upstream) -> upstream.refusal().stream()).findFirst();
	}

}
