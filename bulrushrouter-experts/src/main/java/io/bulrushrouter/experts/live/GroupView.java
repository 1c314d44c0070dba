package io.bulrushrouter.experts.live;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;

/**
 * The statuses of all ranks of a group, taken after all earlier orders were answered or
 * timed out. The status of the leader's rank may be missing, as its instance may be
 * suspended.
 */
public final class GroupView {

	/** The rank whose sidecar leads the group. */
	public static final int LEADER_RANK = 0;

	/**
	 * The rank at which the group is held. It is not the leader's, so that others can
	 * release the group while the instance of the leader is suspended.
	 */
	public static final int HOLD_RANK = 1;

	private final RankStatus[] ranks;

	private GroupView(RankStatus[] ranks) {
		this.ranks = ranks;
	}

	/**
	 * Creates a view from the statuses of one group and epoch.
	 * @param own the status that determines the group, its epoch and its size
	 * @param statuses the statuses of the ranks that answered, in any order
	 * @return the view, or empty unless all ranks answered in the same epoch with an open
	 * group
	 */
	public static Optional<GroupView> of(RankStatus own, List<RankStatus> statuses) {
		return ofAllButLeader(own, statuses).filter(GroupView::complete);
	}

	/**
	 * Creates a view in which the status of the leader's rank may be missing.
	 * @param own the status that determines the group, its epoch and its size
	 * @param statuses the statuses of the ranks that answered, in any order
	 * @return the view, or empty unless all ranks but the leader's answered in the same
	 * epoch with an open group
	 */
	public static Optional<GroupView> ofAllButLeader(RankStatus own, List<RankStatus> statuses) {
		RankStatus[] ranks = new RankStatus[own.size()];
		for (RankStatus status : statuses) {
			boolean matches = status.group().equals(own.group()) && status.epoch() == own.epoch() && status.open();
			if (matches && status.rank() < ranks.length) {
				ranks[status.rank()] = status;
			}
		}
		boolean othersKnown = Arrays.stream(ranks).skip(LEADER_RANK + 1).allMatch(Objects::nonNull);
		return othersKnown ? Optional.of(new GroupView(ranks)) : Optional.empty();
	}

	/**
	 * Returns whether the status of every rank is known.
	 * @return whether the leader's is not missing
	 */
	public boolean complete() {
		return this.ranks[LEADER_RANK] != null;
	}

	private Stream<RankStatus> known() {
		return Arrays.stream(this.ranks).filter(Objects::nonNull);
	}

	/**
	 * Returns the pass before which the group is held.
	 * @return the pass, or empty if the group is not held
	 */
	public OptionalLong held() {
		return this.ranks[HOLD_RANK].held();
	}

	/**
	 * Returns the number of ranks.
	 * @return the number of ranks
	 */
	public int size() {
		return this.ranks.length;
	}

	/**
	 * Returns the status of a rank.
	 * @param rank the index of the rank, which must not be the leader's if its status is
	 * missing
	 * @return the status
	 */
	public RankStatus rank(int rank) {
		return this.ranks[rank];
	}

	/**
	 * Returns the number of requests running on all ranks.
	 * @return the sum over ranks
	 */
	public int running() {
		return known().mapToInt(RankStatus::running).sum();
	}

	/**
	 * Returns the epoch of the group.
	 * @return the epoch
	 */
	public long epoch() {
		return this.ranks[HOLD_RANK].epoch();
	}

	/**
	 * Returns the last pass that any rank has started.
	 * @return the number of the pass
	 */
	public long step() {
		return known().mapToLong(RankStatus::step).max().orElseThrow();
	}

	/**
	 * Returns the switch that all ranks are armed for.
	 * @return the switch, or empty unless all ranks are armed for the same one
	 */
	public Optional<RankStatus.Armed> armedByAll() {
		Optional<RankStatus.Armed> first = this.ranks[HOLD_RANK].armed();
		boolean same = complete() && known().allMatch((status) -> status.armed().equals(first));
		return same ? first : Optional.empty();
	}

	/**
	 * Returns whether any rank is armed.
	 * @return whether at least one rank is armed
	 */
	public boolean armedByAny() {
		return known().anyMatch((status) -> status.armed().isPresent());
	}

	/**
	 * Returns whether all ranks have loaded the weights of a map.
	 * @param version the version of the map
	 * @return whether all ranks have prepared that version
	 */
	public boolean preparedByAll(long version) {
		return complete() && known()
			.allMatch((status) -> status.prepared().isPresent() && status.prepared().getAsLong() == version);
	}

}
