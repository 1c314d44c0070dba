package io.bulrushrouter.experts.live;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * The state that a rank reports about itself.
 *
 * @param group the group's name
 * @param epoch the group's epoch, which changes whenever the group is opened
 * @param rank the index of the rank, from 0
 * @param size the number of ranks in the group
 * @param open whether the group is open and computes passes
 * @param running the number of requests running on this rank
 * @param step the number of the last forward pass that the rank started
 * @param map the version of the expert map in use
 * @param prepared the version of the map whose weights are completely loaded, if any
 * @param armed the map switch that is scheduled, if any
 * @param held the pass before which the group is held, if any
 */
public record RankStatus(String group, long epoch, int rank, int size, boolean open, int running, long step, long map,
		OptionalLong prepared, Optional<Armed> armed, OptionalLong held) {

	/**
	 * A map switch that the rank performs without a further order.
	 *
	 * @param version the version of the map to switch to
	 * @param step the pass at whose start the rank switches
	 */
	public record Armed(long version, long step) {
	}

}
