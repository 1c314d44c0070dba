package io.bulrushrouter.experts.planning;

import java.util.Arrays;

import io.bulrushrouter.experts.ExpertMap;
import io.bulrushrouter.experts.GroupShape;

/**
 * The working copy of one layer: which expert is in which slot, the share of its tokens
 * that each replica takes, and the time that each rank needs. Shares are fitted by
 * repeatedly filling the tokens of one expert into its ranks up to a common level of
 * time, which lowers the sum of squares of the ranks' times each time.
 */
final class LayerFit {

	private static final double LEAST_GAIN = 1e-5;

	private final int ranks;

	private final int slots;

	private final double[] loads;

	private final double[] speeds;

	private final boolean equalShares;

	private final short[] expertOf;

	private final double[] tokens;

	private final int[][] replicas;

	private final int[] replicaCount;

	private final double[] rankTokens;

	private LayerFit(GroupShape shape, double[] loads, double[] speeds, boolean equalShares) {
		this.ranks = shape.ranks();
		this.slots = shape.slots();
		this.loads = loads;
		this.speeds = speeds;
		this.equalShares = equalShares;
		this.expertOf = new short[shape.slotsPerLayer()];
		this.tokens = new double[shape.slotsPerLayer()];
		this.replicas = new int[shape.experts()][];
		this.replicaCount = new int[shape.experts()];
		this.rankTokens = new double[shape.ranks()];
		Arrays.fill(this.expertOf, (short) ExpertMap.EMPTY);
	}

	/**
	 * Returns a layer without replicas.
	 * @param shape the sizes
	 * @param loads the tokens of each expert
	 * @param speeds the speed of each rank
	 * @return the layer
	 */
	static LayerFit ofEmpty(GroupShape shape, double[] loads, double[] speeds) {
		return new LayerFit(shape, loads, speeds, false);
	}

	/**
	 * Returns a layer of a map.
	 * @param map the map
	 * @param layer the layer
	 * @param loads the tokens of each expert
	 * @param speeds the speed of each rank
	 * @param equalShares whether all replicas of an expert take equal shares
	 * @return the layer
	 */
	static LayerFit of(ExpertMap map, int layer, double[] loads, double[] speeds, boolean equalShares) {
		LayerFit fit = new LayerFit(map.shape(), loads, speeds, equalShares);
		double[] wholes = new double[loads.length];
		for (int at = 0; at < fit.expertOf.length; at++) {
			int expert = map.expertAt(layer, at / fit.slots, at % fit.slots);
			if (expert != ExpertMap.EMPTY) {
				fit.put(at, expert);
				wholes[expert] += map.shareAt(layer, at / fit.slots, at % fit.slots);
			}
		}
		for (int at = 0; at < fit.expertOf.length; at++) {
			int expert = fit.expertOf[at];
			if (expert != ExpertMap.EMPTY) {
				double share = map.shareAt(layer, at / fit.slots, at % fit.slots);
				double part = (wholes[expert] > 0) ? share / wholes[expert] : 1.0 / fit.replicaCount[expert];
				fit.setTokens(at, loads[expert] * part);
			}
		}
		return fit;
	}

	/**
	 * Returns a copy that can be changed alone.
	 * @return the copy
	 */
	LayerFit copy() {
		GroupShape shape = new GroupShape(1, this.loads.length, this.ranks, this.slots);
		LayerFit copy = new LayerFit(shape, this.loads, this.speeds, this.equalShares);
		for (int at = 0; at < this.expertOf.length; at++) {
			if (this.expertOf[at] != ExpertMap.EMPTY) {
				copy.put(at, this.expertOf[at]);
				copy.setTokens(at, this.tokens[at]);
			}
		}
		return copy;
	}

	/**
	 * Returns the expert weights that ranks load to change to this layer.
	 * @param from the layer to change from
	 * @return the count
	 */
	int loads(LayerFit from) {
		int loads = 0;
		for (int at = 0; at < this.expertOf.length; at++) {
			int expert = this.expertOf[at];
			if (expert != ExpertMap.EMPTY && !from.holds(at / this.slots, expert)) {
				loads++;
			}
		}
		return loads;
	}

	int ranks() {
		return this.ranks;
	}

	int slots() {
		return this.slots;
	}

	int expertAt(int at) {
		return this.expertOf[at];
	}

	double tokensAt(int at) {
		return this.tokens[at];
	}

	int replicaCount(int expert) {
		return this.replicaCount[expert];
	}

	int replicaAt(int expert, int index) {
		return this.replicas[expert][index];
	}

	double time(int rank) {
		return this.rankTokens[rank] / this.speeds[rank];
	}

	boolean holds(int rank, int expert) {
		for (int index = 0; index < this.replicaCount[expert]; index++) {
			if (this.replicas[expert][index] / this.slots == rank) {
				return true;
			}
		}
		return false;
	}

	double slowest() {
		double slowest = 0;
		for (int rank = 0; rank < this.ranks; rank++) {
			slowest = Math.max(slowest, time(rank));
		}
		return slowest;
	}

	double mean() {
		double sum = 0;
		for (int rank = 0; rank < this.ranks; rank++) {
			sum += time(rank);
		}
		return sum / this.ranks;
	}

	double skew() {
		double mean = mean();
		return (mean > 0) ? slowest() / mean : 1;
	}

	/**
	 * Puts a replica without tokens into an empty slot.
	 * @param at the slot of the layer
	 * @param expert the expert
	 */
	void put(int at, int expert) {
		int count = this.replicaCount[expert];
		int[] old = (this.replicas[expert] != null) ? this.replicas[expert] : new int[2];
		int[] grown = (count < old.length) ? old : Arrays.copyOf(old, 2 * count);
		grown[count] = at;
		this.replicas[expert] = grown;
		this.replicaCount[expert] = count + 1;
		this.expertOf[at] = (short) expert;
	}

	/**
	 * Empties a slot. The tokens of its expert are to be filled again.
	 * @param at the slot of the layer
	 */
	void remove(int at) {
		int expert = this.expertOf[at];
		setTokens(at, 0);
		int last = --this.replicaCount[expert];
		for (int index = 0; index < last; index++) {
			if (this.replicas[expert][index] == at) {
				this.replicas[expert][index] = this.replicas[expert][last];
			}
		}
		this.expertOf[at] = ExpertMap.EMPTY;
	}

	void setTokens(int at, double value) {
		this.rankTokens[at / this.slots] += value - this.tokens[at];
		this.tokens[at] = value;
	}

	/**
	 * Fits the shares of all experts.
	 * @param goal the skew that is good enough
	 * @param sweeps the most rounds over all experts
	 * @return the skew reached
	 */
	double fit(double goal, int sweeps) {
		double before = squares();
		for (int sweep = 0; sweep < sweeps; sweep++) {
			for (int expert = 0; expert < this.loads.length; expert++) {
				fill(expert);
			}
			double after = squares();
			if (this.equalShares || before - after < LEAST_GAIN * after || skew() <= goal) {
				break;
			}
			before = after;
		}
		return skew();
	}

	/**
	 * Returns the sum of the ranks' squared times, weighted by their speeds, which is
	 * least where the times are equal.
	 * @return the sum
	 */
	double squares() {
		double sum = 0;
		for (int rank = 0; rank < this.ranks; rank++) {
			sum += time(rank) * this.rankTokens[rank];
		}
		return sum;
	}

	/**
	 * Fits the shares of the experts on a rank.
	 * @param rank the rank
	 */
	void fitAround(int rank) {
		for (int slot = 0; slot < this.slots; slot++) {
			int expert = this.expertOf[rank * this.slots + slot];
			if (expert != ExpertMap.EMPTY) {
				fill(expert);
			}
		}
	}

	/**
	 * Returns a copy of the tokens of all slots, for {@link #restore}.
	 * @return the tokens
	 */
	double[] tokens() {
		return this.tokens.clone();
	}

	/**
	 * Gives all slots their tokens of before.
	 * @param before the tokens
	 */
	void restore(double[] before) {
		for (int at = 0; at < before.length; at++) {
			if (before[at] != this.tokens[at]) {
				setTokens(at, before[at]);
			}
		}
	}

	/**
	 * Fills the tokens of one expert into its ranks.
	 * @param expert the expert
	 */
	void fill(int expert) {
		int count = this.replicaCount[expert];
		if (count == 1 || this.equalShares) {
			for (int index = 0; index < count; index++) {
				setTokens(this.replicas[expert][index], this.loads[expert] / count);
			}
			return;
		}
		double level = level(expert, count);
		for (int index = 0; index < count; index++) {
			int at = this.replicas[expert][index];
			int rank = at / this.slots;
			double room = level * this.speeds[rank] - (this.rankTokens[rank] - this.tokens[at]);
			setTokens(at, Math.max(0, room));
		}
	}

	private double level(int expert, int count) {
		long[] order = new long[count];
		double[] times = new double[count];
		for (int index = 0; index < count; index++) {
			int at = this.replicas[expert][index];
			int rank = at / this.slots;
			times[index] = Math.max(0, this.rankTokens[rank] - this.tokens[at]) / this.speeds[rank];
			order[index] = (Double.doubleToLongBits(times[index]) & ~0xffffL) | index;
		}
		Arrays.sort(order);
		double speed = 0;
		double base = this.loads[expert];
		double level = Double.POSITIVE_INFINITY;
		for (int position = 0; position < count; position++) {
			int index = (int) (order[position] & 0xffff);
			if (times[index] >= level) {
				break;
			}
			double rankSpeed = this.speeds[this.replicas[expert][index] / this.slots];
			speed += rankSpeed;
			base += times[index] * rankSpeed;
			level = base / speed;
		}
		return level;
	}

	/**
	 * Writes the layer into the arrays of a map.
	 * @param layer the layer
	 * @param experts takes the experts
	 * @param shares takes the shares
	 */
	void store(int layer, short[] experts, short[] shares) {
		int offset = layer * this.expertOf.length;
		for (int at = 0; at < this.expertOf.length; at++) {
			int expert = this.expertOf[at];
			experts[offset + at] = (short) expert;
			shares[offset + at] = (expert == ExpertMap.EMPTY) ? 0 : share(at, expert);
		}
	}

	private short share(int at, int expert) {
		if (this.loads[expert] <= 0) {
			return (short) (ExpertMap.FULL_SHARE / this.replicaCount[expert]);
		}
		return (short) Math.round(ExpertMap.FULL_SHARE * Math.min(1, this.tokens[at] / this.loads[expert]));
	}

}
