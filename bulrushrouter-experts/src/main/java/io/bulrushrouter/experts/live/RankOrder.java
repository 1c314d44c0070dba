package io.bulrushrouter.experts.live;

import java.util.Arrays;

/**
 * An order that the balancer sends to the engine of one rank.
 */
public sealed interface RankOrder {

	/**
	 * Orders the rank to load the weights that a map needs.
	 *
	 * @param version the map's version
	 * @param experts the experts of each rank, indexed by set and rank
	 */
	record Prepare(long version, int[][][] experts) implements RankOrder {

		@Override
		public boolean equals(Object other) {
			return other instanceof Prepare prepare && prepare.version == this.version
					&& Arrays.deepEquals(prepare.experts, this.experts);
		}

		@Override
		public int hashCode() {
			return Long.hashCode(this.version);
		}

	}

	/**
	 * Schedules the switch to a prepared map at the start of a pass.
	 *
	 * @param version the map's version
	 * @param step the pass at whose start the rank switches
	 */
	record Arm(long version, long step) implements RankOrder {
	}

	/**
	 * Cancels a scheduled switch.
	 *
	 * @param version the map's version
	 */
	record Disarm(long version) implements RankOrder {
	}

	/**
	 * Holds the group before a pass.
	 *
	 * @param step the pass that the group must not start
	 */
	record Hold(long step) implements RankOrder {
	}

	/**
	 * Releases a hold.
	 *
	 * @param step the pass before which the group is held
	 */
	record Go(long step) implements RankOrder {
	}

}
