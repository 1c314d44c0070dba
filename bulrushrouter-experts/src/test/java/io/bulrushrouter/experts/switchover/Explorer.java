package io.bulrushrouter.experts.switchover;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Model checker that visits each reachable state of a {@link GroupModel} once, breadth
 * first, up to a maximum depth.
 */
final class Explorer {

	private final GroupModel group;

	private final HealedRun healedRun;

	private final int maxDepth;

	private final Set<Long> visited = new HashSet<>();

	private final Set<Long> healedStates = new HashSet<>();

	private long transitions;

	private int reachedDepth;

	private boolean exhausted;

	Explorer(GroupModel group, int maxDepth) {
		this.group = group;
		this.healedRun = new HealedRun(group);
		this.maxDepth = maxDepth;
	}

	Optional<String> findViolation(List<GroupState> starts) {
		List<GroupState> frontier = starts;
		for (this.reachedDepth = 0; this.reachedDepth < this.maxDepth && !frontier.isEmpty(); this.reachedDepth++) {
			List<GroupState> nextFrontier = new ArrayList<>();
			for (GroupState state : frontier) {
				Optional<String> violation = expand(state, nextFrontier);
				if (violation.isPresent()) {
					return violation;
				}
			}
			frontier = nextFrontier;
		}
		this.exhausted = this.reachedDepth < this.maxDepth;
		return Optional.empty();
	}

	/**
	 * Follows random paths, which reach much deeper than the exhaustive search.
	 * @param start the first state of every path
	 * @param paths the number of paths
	 * @param random selects the events
	 * @return a description of the violation, or empty
	 */
	Optional<String> findViolationOnRandomPaths(GroupState start, int paths, RandomGenerator random) {
		for (int path = 0; path < paths; path++) {
			GroupState state = start;
			for (int step = 0; step < this.maxDepth; step++) {
				List<GroupState> successors = this.group.successors(state);
				if (successors.isEmpty()) {
					break;
				}
				state = successors.get(random.nextInt(successors.size()));
				this.transitions++;
				if (state.violation.isPresent()) {
					return Optional.of(state.violation.get() + this.group.describe(state));
				}
				if (this.visited.add(state.fingerprint()) && violationAfterHealing(state).isPresent()) {
					return Optional.of("violation after healing" + this.group.describe(state));
				}
			}
		}
		this.reachedDepth = this.maxDepth;
		return Optional.empty();
	}

	private Optional<String> expand(GroupState state, List<GroupState> nextFrontier) {
		for (GroupState successor : this.group.successors(state)) {
			this.transitions++;
			if (successor.violation.isPresent()) {
				return Optional.of(successor.violation.get() + this.group.describe(successor));
			}
			if (!this.visited.add(successor.fingerprint())) {
				continue;
			}
			Optional<String> violation = violationAfterHealing(successor);
			if (violation.isPresent()) {
				return Optional.of(violation.get() + "\n in the healed run from" + this.group.describe(successor));
			}
			if (this.reachedDepth + 1 < this.maxDepth) {
				nextFrontier.add(successor);
			}
		}
		state.parent = null;
		return Optional.empty();
	}

	private Optional<String> violationAfterHealing(GroupState state) {
		if (!this.healedStates.add(state.localFingerprint())) {
			return Optional.empty();
		}
		return this.healedRun.findViolation(state, false).or(() -> this.healedRun.findViolation(state, true));
	}

	String summary() {
		return this.visited.size() + " states, " + this.transitions + " transitions, " + this.healedStates.size()
				+ " healed runs, depth " + this.reachedDepth + (this.exhausted ? " (all states)" : "");
	}

}
