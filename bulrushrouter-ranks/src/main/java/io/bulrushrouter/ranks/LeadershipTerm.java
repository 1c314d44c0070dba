package io.bulrushrouter.ranks;

import io.bulrushrouter.experts.live.GroupSwitch;
import io.bulrushrouter.experts.live.RankStatus;

/**
 * The duty to give orders to the ranks of a group.
 *
 * @param group the group
 * @param epoch the epoch in which the duty was taken
 * @param fence the fencing token, which tells this holder's orders from earlier ones
 * @param balancing whether the holder proposes maps too, or only lets the group go on
 * @param groupSwitch the decisions of this holder
 */
record LeadershipTerm(String group, long epoch, long fence, boolean balancing, GroupSwitch groupSwitch) {

	/** Versions that one holder of the duty may use; a day has some thousand at most. */
	private static final long VERSIONS_PER_TOKEN = 100_000;

	/**
	 * Returns the duty under a token.
	 * @param status the status of the rank beside the holder; only the process beside
	 * rank 0 balances
	 * @param fence the fencing token
	 * @return the duty
	 */
	static LeadershipTerm of(RankStatus status, long fence) {
		return new LeadershipTerm(status.group(), status.epoch(), fence, status.rank() == 0,
				GroupSwitch.of(fence * VERSIONS_PER_TOKEN));
	}

	/**
	 * Tells whether the duty still is this holder's, as far as the rank beside it shows.
	 * @param status the rank's status
	 * @return whether group and role are the same; in a new epoch nothing is left to do
	 * for a holder that only lets a group go on
	 */
	boolean isValidFor(RankStatus status) {
		boolean sameRole = this.balancing == (status.rank() == 0);
		return status.group().equals(this.group) && sameRole && (this.balancing || status.epoch() == this.epoch);
	}

}
