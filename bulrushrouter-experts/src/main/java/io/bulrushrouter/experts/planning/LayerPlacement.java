package io.bulrushrouter.experts.planning;

import java.util.Arrays;

import io.bulrushrouter.experts.ExpertMap;
import io.bulrushrouter.experts.GroupShape;

/**
 * The mutable placement of one layer: the expert in each slot, the tokens that each
 * replica takes, and the resulting time of each rank. Shares are fitted by coordinate
 * descent: the tokens of one expert at a time are distributed over its ranks by
 * water-filling, which never raises the weighted sum of squares of the ranks' times. A
 * layer slot is the index {@code rank * slots + slot}.
 */
final class LayerPlacement {

	private static final double MIN_RELATIVE_GAIN = 1e-5;

	private final int ranks;

	private final int slots;

	private final double[] expertLoads;

	private final double[] speeds;

	private final boolean equalShares;

	private final short[] expertBySlot;

	private final double[] tokensBySlot;

	private final int[][] replicaSlots;

	private final int[] replicaCount;

	private final double[] rankTokens;

	private LayerPlacement(GroupShape shape, double[] expertLoads, double[] speeds, boolean equalShares) {
		this.ranks = shape.ranks();
		this.slots = shape.slots();
		this.expertLoads = expertLoads;
		this.speeds = speeds;
		this.equalShares = equalShares;
		this.expertBySlot = new short[shape.slotsPerLayer()];
		this.tokensBySlot = new double[shape.slotsPerLayer()];
		this.replicaSlots = new int[shape.experts()][];
		this.replicaCount = new int[shape.experts()];
		this.rankTokens = new double[shape.ranks()];
		Arrays.fill(this.expertBySlot, (short) ExpertMap.EMPTY);
	}

	/**
	 * Returns the placement of a layer without replicas.
	 * @param shape the shape of the group
	 * @param expertLoads the tokens of each expert
	 * @param speeds the speed of each rank
	 * @return the placement
	 */
	static LayerPlacement ofEmpty(GroupShape shape, double[] expertLoads, double[] speeds) {
		return new LayerPlacement(shape, expertLoads, speeds, false);
	}

	/**
	 * Returns the placement of one layer of a map.
	 * @param map the map
	 * @param layer the layer
	 * @param expertLoads the tokens of each expert
	 * @param speeds the speed of each rank
	 * @param equalShares whether all replicas of an expert take equal shares
	 * @return the placement
	 */
	static LayerPlacement of(ExpertMap map, int layer, double[] expertLoads, double[] speeds, boolean equalShares) {
		LayerPlacement placement = new LayerPlacement(map.shape(), expertLoads, speeds, equalShares);
		double[] totalShares = new double[expertLoads.length];
		for (int layerSlot = 0; layerSlot < placement.expertBySlot.length; layerSlot++) {
			int expert = map.expertAt(layer, layerSlot / placement.slots, layerSlot % placement.slots);
			if (expert != ExpertMap.EMPTY) {
				placement.put(layerSlot, expert);
				totalShares[expert] += map.shareAt(layer, layerSlot / placement.slots, layerSlot % placement.slots);
			}
		}
		for (int layerSlot = 0; layerSlot < placement.expertBySlot.length; layerSlot++) {
			int expert = placement.expertBySlot[layerSlot];
			if (expert != ExpertMap.EMPTY) {
				double share = map.shareAt(layer, layerSlot / placement.slots, layerSlot % placement.slots);
				double fraction = (totalShares[expert] > 0) ? share / totalShares[expert]
						: 1.0 / placement.replicaCount[expert];
				placement.setTokens(layerSlot, expertLoads[expert] * fraction);
			}
		}
		return placement;
	}

	/**
	 * Returns an independent copy.
	 * @return the copy
	 */
	LayerPlacement copy() {
		GroupShape shape = new GroupShape(1, this.expertLoads.length, this.ranks, this.slots);
		LayerPlacement copy = new LayerPlacement(shape, this.expertLoads, this.speeds, this.equalShares);
		for (int layerSlot = 0; layerSlot < this.expertBySlot.length; layerSlot++) {
			if (this.expertBySlot[layerSlot] != ExpertMap.EMPTY) {
				copy.put(layerSlot, this.expertBySlot[layerSlot]);
				copy.setTokens(layerSlot, this.tokensBySlot[layerSlot]);
			}
		}
		return copy;
	}

	/**
	 * Returns the number of expert weights that ranks load to change to this placement.
	 * @param from the placement to change from
	 * @return the number of expert weights
	 */
	int weightLoads(LayerPlacement from) {
		int weightLoads = 0;
		for (int layerSlot = 0; layerSlot < this.expertBySlot.length; layerSlot++) {
			int expert = this.expertBySlot[layerSlot];
			if (expert != ExpertMap.EMPTY && !from.holds(layerSlot / this.slots, expert)) {
				weightLoads++;
			}
		}
		return weightLoads;
	}

	int ranks() {
		return this.ranks;
	}

	int slots() {
		return this.slots;
	}

	int expertAt(int layerSlot) {
		return this.expertBySlot[layerSlot];
	}

	double tokensAt(int layerSlot) {
		return this.tokensBySlot[layerSlot];
	}

	int replicaCount(int expert) {
		return this.replicaCount[expert];
	}

	int replicaSlot(int expert, int index) {
		return this.replicaSlots[expert][index];
	}

	double time(int rank) {
		return this.rankTokens[rank] / this.speeds[rank];
	}

	boolean holds(int rank, int expert) {
		for (int index = 0; index < this.replicaCount[expert]; index++) {
			if (this.replicaSlots[expert][index] / this.slots == rank) {
				return true;
			}
		}
		return false;
	}

	double maxTime() {
		double maxTime = 0;
		for (int rank = 0; rank < this.ranks; rank++) {
			maxTime = Math.max(maxTime, time(rank));
		}
		return maxTime;
	}

	double meanTime() {
		double totalTime = 0;
		for (int rank = 0; rank < this.ranks; rank++) {
			totalTime += time(rank);
		}
		return totalTime / this.ranks;
	}

	double skew() {
		double meanTime = meanTime();
		return (meanTime > 0) ? maxTime() / meanTime : 1;
	}

	/**
	 * Puts a replica without tokens into an empty slot.
	 * @param layerSlot the layer slot
	 * @param expert the expert
	 */
	void put(int layerSlot, int expert) {
		int count = this.replicaCount[expert];
		int[] existing = (this.replicaSlots[expert] != null) ? this.replicaSlots[expert] : new int[2];
		int[] grown = (count < existing.length) ? existing : Arrays.copyOf(existing, 2 * count);
		grown[count] = layerSlot;
		this.replicaSlots[expert] = grown;
		this.replicaCount[expert] = count + 1;
		this.expertBySlot[layerSlot] = (short) expert;
	}

	/**
	 * Empties a slot. The caller has to distribute the tokens of its expert again, see
	 * {@link #waterFill}.
	 * @param layerSlot the layer slot
	 */
	void remove(int layerSlot) {
		int expert = this.expertBySlot[layerSlot];
		setTokens(layerSlot, 0);
		int last = --this.replicaCount[expert];
		for (int index = 0; index < last; index++) {
			if (this.replicaSlots[expert][index] == layerSlot) {
				this.replicaSlots[expert][index] = this.replicaSlots[expert][last];
			}
		}
		this.expertBySlot[layerSlot] = ExpertMap.EMPTY;
	}

	void setTokens(int layerSlot, double value) {
		this.rankTokens[layerSlot / this.slots] += value - this.tokensBySlot[layerSlot];
		this.tokensBySlot[layerSlot] = value;
	}

	/**
	 * Fits the shares of all experts.
	 * @param targetSkew the skew at which to stop
	 * @param maxSweeps the maximum number of passes over all experts
	 * @return the skew reached
	 */
	double fitShares(double targetSkew, int maxSweeps) {
		double before = sumOfSquares();
		for (int sweep = 0; sweep < maxSweeps; sweep++) {
			for (int expert = 0; expert < this.expertLoads.length; expert++) {
				waterFill(expert);
			}
			double after = sumOfSquares();
			if (this.equalShares || before - after < MIN_RELATIVE_GAIN * after || skew() <= targetSkew) {
				break;
			}
			before = after;
		}
		return skew();
	}

	/**
	 * Returns the sum of the ranks' squared times, weighted by their speeds. It is
	 * minimal when all times are equal.
	 * @return the sum
	 */
	double sumOfSquares() {
		double sum = 0;
		for (int rank = 0; rank < this.ranks; rank++) {
			sum += time(rank) * this.rankTokens[rank];
		}
		return sum;
	}

	/**
	 * Fits the shares of all experts that have a replica on a rank.
	 * @param rank the rank
	 */
	void fitSharesOfRank(int rank) {
		for (int slot = 0; slot < this.slots; slot++) {
			int expert = this.expertBySlot[rank * this.slots + slot];
			if (expert != ExpertMap.EMPTY) {
				waterFill(expert);
			}
		}
	}

	/**
	 * Returns a copy of the tokens of all slots, for {@link #restore}.
	 * @return the tokens, by layer slot
	 */
	double[] tokensBySlot() {
		return this.tokensBySlot.clone();
	}

	/**
	 * Restores the tokens of all slots.
	 * @param savedTokens the tokens, as returned by {@link #tokensBySlot()}
	 */
	void restore(double[] savedTokens) {
		for (int layerSlot = 0; layerSlot < savedTokens.length; layerSlot++) {
			if (savedTokens[layerSlot] != this.tokensBySlot[layerSlot]) {
				setTokens(layerSlot, savedTokens[layerSlot]);
			}
		}
	}

	/**
	 * Distributes the tokens of one expert over its replicas, up to a common time of
	 * their ranks, or in equal parts if the placement has equal shares.
	 * @param expert the expert
	 */
	void waterFill(int expert) {
		int count = this.replicaCount[expert];
		if (count == 1 || this.equalShares) {
			for (int index = 0; index < count; index++) {
				setTokens(this.replicaSlots[expert][index], this.expertLoads[expert] / count);
			}
			return;
		}
		double level = waterLevel(expert, count);
		for (int index = 0; index < count; index++) {
			int layerSlot = this.replicaSlots[expert][index];
			int rank = layerSlot / this.slots;
			double tokens = level * this.speeds[rank] - (this.rankTokens[rank] - this.tokensBySlot[layerSlot]);
			setTokens(layerSlot, Math.max(0, tokens));
		}
	}

	private double waterLevel(int expert, int count) {
		long[] order = new long[count];
		double[] times = new double[count];
		for (int index = 0; index < count; index++) {
			int layerSlot = this.replicaSlots[expert][index];
			int rank = layerSlot / this.slots;
			times[index] = Math.max(0, this.rankTokens[rank] - this.tokensBySlot[layerSlot]) / this.speeds[rank];
			order[index] = (Double.doubleToLongBits(times[index]) & ~0xffffL) | index;
		}
		Arrays.sort(order);
		double totalSpeed = 0;
		double totalTokens = this.expertLoads[expert];
		double level = Double.POSITIVE_INFINITY;
		for (int position = 0; position < count; position++) {
			int index = (int) (order[position] & 0xffff);
			if (times[index] >= level) {
				break;
			}
			double rankSpeed = this.speeds[this.replicaSlots[expert][index] / this.slots];
			totalSpeed += rankSpeed;
			totalTokens += times[index] * rankSpeed;
			level = totalTokens / totalSpeed;
		}
		return level;
	}

	/**
	 * Writes the placement into the arrays of a map.
	 * @param layer the layer to write to
	 * @param experts receives the expert of each slot
	 * @param shares receives the share of each slot
	 */
	void store(int layer, short[] experts, short[] shares) {
		int offset = layer * this.expertBySlot.length;
		for (int layerSlot = 0; layerSlot < this.expertBySlot.length; layerSlot++) {
			int expert = this.expertBySlot[layerSlot];
			experts[offset + layerSlot] = (short) expert;
			shares[offset + layerSlot] = (expert == ExpertMap.EMPTY) ? 0 : share(layerSlot, expert);
		}
	}

	private short share(int layerSlot, int expert) {
		if (this.expertLoads[expert] <= 0) {
			return (short) (ExpertMap.FULL_SHARE / this.replicaCount[expert]);
		}
		return (short) Math
			.round(ExpertMap.FULL_SHARE * Math.min(1, this.tokensBySlot[layerSlot] / this.expertLoads[expert]));
	}

}
