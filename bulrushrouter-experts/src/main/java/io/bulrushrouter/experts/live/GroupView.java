package io.bulrushrouter.experts.live;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * The statuses of all ranks of a group, taken after all earlier orders were answered or
 * timed out.
 */
public final class GroupView {

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
		RankStatus[] ranks = new RankStatus[own.size()];
		for (RankStatus status : statuses) {
			boolean matches = status.group().equals(own.group()) && status.epoch() == own.epoch() && status.open();
			if (matches && status.rank() < ranks.length) {
				ranks[status.rank()] = status;
			}
		}
		boolean complete = Arrays.stream(ranks).allMatch((status) -> status != null);
		return complete ? Optional.of(new GroupView(ranks)) : Optional.empty();
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
	 * @param rank the index of the rank
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
		return Arrays.stream(this.ranks).mapToInt(RankStatus::running).sum();
	}

	/**
	 * Returns the epoch of the group.
	 * @return the epoch
	 */
	public long epoch() {
		return this.ranks[0].epoch();
	}

	/**
	 * Returns the last pass that any rank has started.
	 * @return the number of the pass
	 */
	public long step() {
		return Arrays.stream(this.ranks).mapToLong(RankStatus::step).max().orElseThrow();
	}

	/**
	 * Returns the switch that all ranks are armed for.
	 * @return the switch, or empty unless all ranks are armed for the same one
	 */
	public Optional<RankStatus.Armed> armedByAll() {
		Optional<RankStatus.Armed> first = this.ranks[0].armed();
		boolean same = Arrays.stream(this.ranks).allMatch((status) -> status.armed().equals(first));
		return same ? first : Optional.empty();
	}

	/**
	 * Returns whether any rank is armed.
	 * @return whether at least one rank is armed
	 */
	public boolean armedByAny() {
		return Arrays.stream(this.ranks).anyMatch((status) -> status.armed().isPresent());
	}

	/**
	 * Returns whether all ranks have loaded the weights of a map.
	 * @param version the version of the map
	 * @return whether all ranks have prepared that version
	 */
	public boolean preparedByAll(long version) {
		return Arrays.stream(this.ranks)
			.allMatch((status) -> status.prepared().isPresent() && status.prepared().getAsLong() == version);
	}

}
