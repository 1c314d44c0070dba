package io.bulrushrouter.experts;

import java.util.Arrays;

import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;

/**
 * An immutable expert map: which ranks hold replicas of which experts, and the share of
 * an expert's tokens that each replica takes. Uses four bytes per slot.
 *
 * <pre>{@code
 * ExpertMap map = ExpertMap.ofRoundRobin(1, GroupShape.of(58, 256, 8, 34));
 * }</pre>
 */
public final class ExpertMap {

	/** The value that marks an empty slot. */
	public static final int EMPTY = -1;

	/** The share that corresponds to all tokens of an expert. */
	public static final int FULL_SHARE = 32_000;

	private final long version;

	private final GroupShape shape;

	private final short[] experts;

	private final short[] shares;

	private ExpertMap(long version, GroupShape shape, short[] experts, short[] shares) {
		this.version = version;
		this.shape = shape;
		this.experts = experts;
		this.shares = shares;
	}

	/**
	 * Creates a map with the given slots.
	 * @param version the version, which increases with every map of a group
	 * @param shape the shape of the group
	 * @param experts the expert of each slot or {@link #EMPTY}, by layer, rank and slot;
	 * copied
	 * @param shares the share of the expert's tokens that the slot takes, in parts of
	 * {@link #FULL_SHARE}; copied
	 * @return the map
	 * @throws BulrushException with {@link ErrorCode#BAD_CONFIGURATION} if the arrays do
	 * not fit the shape or an expert of a layer has no replica
	 */
	public static ExpertMap of(long version, GroupShape shape, short[] experts, short[] shares) {
		int length = shape.layers() * shape.slotsPerLayer();
		if (experts.length != length || shares.length != length) {
			throw new BulrushException(ErrorCode.BAD_CONFIGURATION,
					"experts and shares of an expert map must have " + length + " slots each");
		}
		ExpertMap map = new ExpertMap(version, shape, experts.clone(), shares.clone());
		map.checkReplicas();
		return map;
	}

	/**
	 * Creates a map that assigns the experts to the ranks round-robin and leaves spare
	 * slots empty.
	 * @param version the version
	 * @param shape the shape of the group
	 * @return the map
	 */
	public static ExpertMap ofRoundRobin(long version, GroupShape shape) {
		short[] experts = new short[shape.layers() * shape.slotsPerLayer()];
		short[] shares = new short[experts.length];
		Arrays.fill(experts, (short) EMPTY);
		for (int layer = 0; layer < shape.layers(); layer++) {
			for (int expert = 0; expert < shape.experts(); expert++) {
				int rank = expert % shape.ranks();
				int index = (layer * shape.ranks() + rank) * shape.slots() + expert / shape.ranks();
				experts[index] = (short) expert;
				shares[index] = FULL_SHARE;
			}
		}
		return of(version, shape, experts, shares);
	}

	/**
	 * Returns the version of the map.
	 * @return the version
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the shape of the group.
	 * @return the shape
	 */
	public GroupShape shape() {
		return this.shape;
	}

	/**
	 * Returns the expert of a slot.
	 * @param layer the layer, from 0
	 * @param rank the rank, from 0
	 * @param slot the slot of the rank, from 0
	 * @return the expert, or {@link #EMPTY}
	 */
	public int expertAt(int layer, int rank, int slot) {
		return this.experts[index(layer, rank, slot)];
	}

	/**
	 * Returns the share of its expert's tokens that a slot takes.
	 * @param layer the layer, from 0
	 * @param rank the rank, from 0
	 * @param slot the slot of the rank, from 0
	 * @return the share, in parts of {@link #FULL_SHARE}
	 */
	public int shareAt(int layer, int rank, int slot) {
		return this.shares[index(layer, rank, slot)];
	}

	/**
	 * Returns whether a rank holds a replica of an expert.
	 * @param layer the layer, from 0
	 * @param rank the rank, from 0
	 * @param expert the expert
	 * @return whether the rank holds a replica
	 */
	public boolean holds(int layer, int rank, int expert) {
		for (int slot = 0; slot < this.shape.slots(); slot++) {
			if (expertAt(layer, rank, slot) == expert) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Returns the number of expert weights that a rank loads to switch from another map
	 * to this one.
	 * @param from the other map, of the same shape
	 * @param rank the rank, from 0
	 * @return the number of weights, each of the size of one expert of one layer
	 */
	public int rankWeightLoads(ExpertMap from, int rank) {
		int loads = 0;
		for (int layer = 0; layer < this.shape.layers(); layer++) {
			for (int slot = 0; slot < this.shape.slots(); slot++) {
				int expert = expertAt(layer, rank, slot);
				if (expert != EMPTY && !from.holds(layer, rank, expert)) {
					loads++;
				}
			}
		}
		return loads;
	}

	/**
	 * Returns the number of expert weights that all ranks load to switch from another map
	 * to this one.
	 * @param from the other map, of the same shape
	 * @return the number of weights
	 */
	public int weightLoads(ExpertMap from) {
		int loads = 0;
		for (int rank = 0; rank < this.shape.ranks(); rank++) {
			loads += rankWeightLoads(from, rank);
		}
		return loads;
	}

	/**
	 * Returns a copy of the experts of all slots.
	 * @return the experts, by layer, rank and slot
	 */
	public short[] experts() {
		return this.experts.clone();
	}

	/**
	 * Returns a copy of the shares of all slots.
	 * @return the shares, by layer, rank and slot, in parts of {@link #FULL_SHARE}
	 */
	public short[] shares() {
		return this.shares.clone();
	}

	private void checkReplicas() {
		for (int layer = 0; layer < this.shape.layers(); layer++) {
			boolean[] placed = new boolean[this.shape.experts()];
			int from = layer * this.shape.slotsPerLayer();
			for (int index = from; index < from + this.shape.slotsPerLayer(); index++) {
				if (this.experts[index] != EMPTY) {
					placed[this.experts[index]] = true;
				}
			}
			for (int expert = 0; expert < placed.length; expert++) {
				if (!placed[expert]) {
					throw new BulrushException(ErrorCode.BAD_CONFIGURATION,
							"expert " + expert + " of layer " + layer + " has no replica");
				}
			}
		}
	}

	private int index(int layer, int rank, int slot) {
		return (layer * this.shape.ranks() + rank) * this.shape.slots() + slot;
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof ExpertMap map && map.version == this.version && map.shape.equals(this.shape)
				&& Arrays.equals(map.experts, this.experts) && Arrays.equals(map.shares, this.shares);
	}

	@Override
	public int hashCode() {
		return 31 * Long.hashCode(this.version) + Arrays.hashCode(this.experts);
	}

	@Override
	public String toString() {
		return "ExpertMap[version=" + this.version + ", shape=" + this.shape + "]";
	}

}
