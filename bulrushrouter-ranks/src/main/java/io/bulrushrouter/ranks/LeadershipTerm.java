package io.bulrushrouter.ranks;

import io.bulrushrouter.experts.live.GroupSwitch;
import io.bulrushrouter.experts.live.GroupView;
import io.bulrushrouter.experts.live.RankStatus;

/**
 * A term in which one sidecar leads a group, that is, sends orders to its ranks.
 *
 * @param group the group's name
 * @param epoch the epoch in which the term began
 * @param fence the fencing token, by which ranks refuse the orders of earlier leaders
 * @param balancing whether the leader proposes maps, or only recovers a group that is
 * held
 * @param groupSwitch decides the orders of this term
 */
record LeadershipTerm(String group, long epoch, long fence, boolean balancing, GroupSwitch groupSwitch) {

	/** Map versions reserved for one token; a day uses a few thousand at most. */
	private static final long VERSIONS_PER_TOKEN = 100_000;

	/**
	 * Creates a term.
	 * @param status the status of the leader's own rank; only the sidecar of rank 0
	 * balances
	 * @param fence the fencing token
	 * @return the term
	 */
	static LeadershipTerm of(RankStatus status, long fence) {
		return new LeadershipTerm(status.group(), status.epoch(), fence, status.rank() == GroupView.LEADER_RANK,
				GroupSwitch.of(fence * VERSIONS_PER_TOKEN));
	}

	/**
	 * Returns whether the term still applies, judging by the leader's own rank.
	 * @param status the rank's status
	 * @return whether the group and the role are unchanged; a new epoch leaves nothing to
	 * do for a leader that only recovers a group, so its term ends
	 */
	boolean isValidFor(RankStatus status) {
		boolean sameRole = this.balancing == (status.rank() == GroupView.LEADER_RANK);
		return status.group().equals(this.group) && sameRole && (this.balancing || status.epoch() == this.epoch);
	}

}
