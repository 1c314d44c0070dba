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
 * An upstream or group that is to leave, with what is observed of its members.
 *
 * @param target the upstream or group
 * @param members its upstreams
 * @param intent what is intended for each of them
 * @param observed what is observed
 */
record Departing(Target target, List<FleetUpstream> members, UpstreamIntent intent, Observation observed) {

	EndState state() {
		return this.intent.state();
	}

	Optional<LocalDateTime> stopAt() {
		return this.intent.stopAt();
	}

	LocalDateTime stopAtOrMin() {
		return stopAt().orElse(LocalDateTime.MIN);
	}

	Stream<ObservedUpstream> seen() {
		return this.members.stream().flatMap((member) -> this.observed.find(member.id()).stream());
	}

	Stream<UpstreamId> in(Phase phase) {
		return seen().filter((upstream) -> upstream.phase() == phase).map(ObservedUpstream::upstream);
	}

	boolean has(Phase phase) {
		return in(phase).findAny().isPresent();
	}

	Optional<UpstreamId> silent() {
		return this.members.stream()
			.map(FleetUpstream::id)
			.filter((id) -> this.observed.find(id).isEmpty())
			.findFirst();
	}

	// Some ranks were told to leave, so that the others must follow.
	boolean begun() {
		return seen().anyMatch((upstream) -> upstream.phase() != Phase.RUNNING);
	}

	boolean met() {
		Phase least = (state() == EndState.GONE) ? Phase.STOPPED : Phase.LEAVING;
		return silent().isEmpty() && seen().allMatch((upstream) -> upstream.phase().compareTo(least) >= 0);
	}

	// A unit whose engine refuses must not keep the others from leaving.
	boolean onItsWay() {
		return state() == EndState.GONE && begun() && !met() && refusal().isEmpty();
	}

	// All ranks of a group carry the same requests.
	int inFlight() {
		return seen().mapToInt(ObservedUpstream::inFlight).max().orElse(0);
	}

	Optional<String> refusal() {
		return seen().flatMap((upstream) -> upstream.refusal().stream()).findFirst();
	}

}
