package io.bulrushrouter.experts.live;

import java.util.Arrays;

/**
 * An order to one rank.
 */
public sealed interface RankOrder {

	/**
	 * Copy the weights that a map needs.
	 *
	 * @param version the map's version
	 * @param experts the experts by set and rank
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
	 * Switch to a prepared map as a pass begins.
	 *
	 * @param version the map's version
	 * @param step the pass
	 */
	record Arm(long version, long step) implements RankOrder {
	}

	/**
	 * Do not switch.
	 *
	 * @param version the map's version
	 */
	record Disarm(long version) implements RankOrder {
	}

	/**
	 * Let the group not begin a pass.
	 *
	 * @param step the pass
	 */
	record Hold(long step) implements RankOrder {
	}

	/**
	 * Let the group begin the pass before which it stops.
	 *
	 * @param step the pass
	 */
	record Go(long step) implements RankOrder {
	}

}
