package io.bulrushrouter.experts.live;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a rank says of itself.
 *
 * @param group the group's name
 * @param epoch the group's epoch; each time it opens is a new one
 * @param rank the rank's number, from 0
 * @param size the ranks of the group
 * @param open whether the group runs
 * @param running the requests that run on this rank
 * @param step the last pass that was begun
 * @param map the version of the map in use
 * @param prepared the version whose weights are all there, if any
 * @param armed the version and pass of the next switch, if any
 * @param held the pass before which the group stops, if any
 */
public record RankStatus(String group, long epoch, int rank, int size, boolean open, int running, long step, long map,
		OptionalLong prepared, Optional<Armed> armed, OptionalLong held) {

	/**
	 * A switch that a rank makes by itself.
	 *
	 * @param version the map to switch to
	 * @param step the pass at whose begin it switches
	 */
	public record Armed(long version, long step) {
	}

}
