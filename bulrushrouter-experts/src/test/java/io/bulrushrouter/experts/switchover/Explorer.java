package io.bulrushrouter.experts.switchover;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Visits every state of a {@link Group} up to a depth, breadth first, each once.
 */
final class Explorer {

	private final Group group;

	private final HealedRun healedRun;

	private final int depth;

	private final Set<Long> seen = new HashSet<>();

	private final Set<Long> healed = new HashSet<>();

	private long transitions;

	private int reached;

	private boolean exhausted;

	Explorer(Group group, int depth) {
		this.group = group;
		this.healedRun = new HealedRun(group);
		this.depth = depth;
	}

	Optional<String> violation(List<GroupState> starts) {
		List<GroupState> level = starts;
		for (this.reached = 0; this.reached < this.depth && !level.isEmpty(); this.reached++) {
			List<GroupState> next = new ArrayList<>();
			for (GroupState state : level) {
				Optional<String> violation = expand(state, next);
				if (violation.isPresent()) {
					return violation;
				}
			}
			level = next;
		}
		this.exhausted = this.reached < this.depth;
		return Optional.empty();
	}

	/**
	 * Follows random paths far deeper than the exhaustive search.
	 * @param start the first state of every path
	 * @param paths the number of paths
	 * @param random picks the events
	 * @return what is wrong, or empty
	 */
	Optional<String> violationOnPaths(GroupState start, int paths, RandomGenerator random) {
		for (int path = 0; path < paths; path++) {
			GroupState state = start;
			for (int step = 0; step < this.depth; step++) {
				List<GroupState> next = this.group.next(state);
				if (next.isEmpty()) {
					break;
				}
				state = next.get(random.nextInt(next.size()));
				this.transitions++;
				if (state.violation.isPresent()) {
					return Optional.of(state.violation.get() + this.group.describe(state));
				}
				if (this.seen.add(state.fingerprint()) && wrongAfterHealing(state).isPresent()) {
					return Optional.of("wrong after healing" + this.group.describe(state));
				}
			}
		}
		this.reached = this.depth;
		return Optional.empty();
	}

	private Optional<String> expand(GroupState state, List<GroupState> next) {
		for (GroupState reachedState : this.group.next(state)) {
			this.transitions++;
			if (reachedState.violation.isPresent()) {
				return Optional.of(reachedState.violation.get() + this.group.describe(reachedState));
			}
			if (!this.seen.add(reachedState.fingerprint())) {
				continue;
			}
			Optional<String> wrong = wrongAfterHealing(reachedState);
			if (wrong.isPresent()) {
				return Optional.of(wrong.get() + "\n in the healed run from" + this.group.describe(reachedState));
			}
			if (this.reached + 1 < this.depth) {
				next.add(reachedState);
			}
		}
		state.parent = null;
		return Optional.empty();
	}

	private Optional<String> wrongAfterHealing(GroupState state) {
		if (!this.healed.add(state.localFingerprint())) {
			return Optional.empty();
		}
		return this.healedRun.wrong(state, false).or(() -> this.healedRun.wrong(state, true));
	}

	String figures() {
		return this.seen.size() + " states, " + this.transitions + " transitions, " + this.healed.size()
				+ " healed runs, depth " + this.reached + (this.exhausted ? " (all states)" : "");
	}

}
