package io.bulrushrouter.experts.live;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * What all ranks of a group said of themselves after all earlier orders were answered or
 * given up.
 */
public final class GroupView {

	private final RankStatus[] ranks;

	private GroupView(RankStatus[] ranks) {
		this.ranks = ranks;
	}

	/**
	 * Puts the statuses of one group and epoch together.
	 * @param own the status of rank 0
	 * @param statuses the statuses of all ranks that answered, in any order
	 * @return the view, or empty unless all ranks answered from the same open epoch
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
	 * @return the number
	 */
	public int size() {
		return this.ranks.length;
	}

	/**
	 * Returns a rank's status.
	 * @param rank the rank
	 * @return the status
	 */
	public RankStatus rank(int rank) {
		return this.ranks[rank];
	}

	/**
	 * Returns the requests that run on all ranks.
	 * @return the number
	 */
	public int running() {
		return Arrays.stream(this.ranks).mapToInt(RankStatus::running).sum();
	}

	/**
	 * Returns the epoch.
	 * @return the epoch
	 */
	public long epoch() {
		return this.ranks[0].epoch();
	}

	/**
	 * Returns the last pass that any rank has begun.
	 * @return the pass
	 */
	public long step() {
		return Arrays.stream(this.ranks).mapToLong(RankStatus::step).max().orElseThrow();
	}

	/**
	 * Returns the switch that all ranks make.
	 * @return the switch, or empty if not all are armed for the same one
	 */
	public Optional<RankStatus.Armed> armedByAll() {
		Optional<RankStatus.Armed> first = this.ranks[0].armed();
		boolean same = Arrays.stream(this.ranks).allMatch((status) -> status.armed().equals(first));
		return same ? first : Optional.empty();
	}

	/**
	 * Tells whether any rank is armed.
	 * @return whether one is
	 */
	public boolean armedByAny() {
		return Arrays.stream(this.ranks).anyMatch((status) -> status.armed().isPresent());
	}

	/**
	 * Tells whether all ranks have the weights of a map.
	 * @param version the map
	 * @return whether they have
	 */
	public boolean preparedByAll(long version) {
		return Arrays.stream(this.ranks)
			.allMatch((status) -> status.prepared().isPresent() && status.prepared().getAsLong() == version);
	}

}
