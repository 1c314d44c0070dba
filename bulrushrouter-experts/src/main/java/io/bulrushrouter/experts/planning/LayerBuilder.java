package io.bulrushrouter.experts.planning;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

import io.bulrushrouter.experts.GroupShape;

/**
 * Builds a layer from nothing, with equal times: rank by rank, all slots but one are
 * given the smallest experts that are left, whole, and the last slot is filled up from
 * the largest one, as in the alias method (Walker 1977, Vose 1991) with more than two
 * entries a bin. Each rank uses up one expert a slot but one, so that the experts fit
 * where {@code experts <= ranks * (slots - 1) + 1}; others go to the fastest free slots.
 */
final class LayerBuilder {

	private static final double SPEED_CLASS = 0.05;

	private static final double ROUNDING = 1e-9;

	private final GroupShape shape;

	private final double[] loads;

	private final double[] speeds;

	private final List<Part> left = new ArrayList<>();

	private final List<List<Part>> bins = new ArrayList<>();

	private LayerBuilder(GroupShape shape, double[] loads, double[] speeds) {
		this.shape = shape;
		this.loads = loads;
		this.speeds = speeds;
	}

	/**
	 * Builds a layer, whatever the ranks hold now.
	 * @param shape the sizes
	 * @param loads the tokens of each expert
	 * @param speeds the speed of each rank
	 * @return the layer
	 */
	static LayerFit build(GroupShape shape, double[] loads, double[] speeds) {
		LayerBuilder builder = new LayerBuilder(shape, loads, speeds);
		builder.fillBins();
		int[] rankOfBin = new int[shape.ranks()];
		Arrays.setAll(rankOfBin, (bin) -> bin);
		return builder.layer(rankOfBin);
	}

	/**
	 * Builds a layer and deals its parts out to the ranks that hold most of them now.
	 * @param shape the sizes
	 * @param loads the tokens of each expert
	 * @param speeds the speed of each rank
	 * @param current the layer on the map in use
	 * @return the layer
	 */
	static LayerFit buildNear(GroupShape shape, double[] loads, double[] speeds, LayerFit current) {
		LayerBuilder builder = new LayerBuilder(shape, loads, speeds);
		builder.fillBins();
		return builder.layer(builder.matched(current));
	}

	private void fillBins() {
		for (int expert = 0; expert < this.loads.length; expert++) {
			this.left.add(new Part(expert, this.loads[expert]));
		}
		this.left.sort(Comparator.comparingDouble(Part::tokens));
		for (int rank = 0; rank < this.shape.ranks(); rank++) {
			this.bins.add(new ArrayList<>());
		}
		double time = Arrays.stream(this.loads).sum() / Arrays.stream(this.speeds).sum();
		for (int rank : ranksBySpeed()) {
			fillBin(this.bins.get(rank), time * this.speeds[rank]);
		}
		placeRest();
	}

	private int[] ranksBySpeed() {
		Integer[] ranks = new Integer[this.shape.ranks()];
		Arrays.setAll(ranks, (rank) -> rank);
		Arrays.sort(ranks, Comparator.comparingDouble((rank) -> this.speeds[rank]));
		return Arrays.stream(ranks).mapToInt(Integer::intValue).toArray();
	}

	private void fillBin(List<Part> bin, double capacity) {
		if (this.left.isEmpty()) {
			return;
		}
		int count = Math.min(this.shape.slots() - 1, this.left.size() - 1);
		while (count > 0 && sum(0, count) > capacity) {
			count--;
		}
		Part largest = this.left.remove(this.left.size() - 1);
		int from = 0;
		while (from + count < this.left.size() && sum(from, count) + largest.tokens() < capacity
				&& sum(from + 1, count) <= capacity) {
			from++;
		}
		double room = capacity - sum(from, count);
		List<Part> whole = this.left.subList(from, from + count);
		bin.addAll(whole);
		whole.clear();
		cut(bin, largest, room);
	}

	private void cut(List<Part> bin, Part largest, double room) {
		double rest = largest.tokens() - room;
		if (rest <= ROUNDING * room) {
			bin.add(largest);
			return;
		}
		if (room > 0) {
			bin.add(new Part(largest.expert(), room));
		}
		Part part = new Part(largest.expert(), rest);
		int at = this.left.size();
		while (at > 0 && this.left.get(at - 1).tokens() > rest) {
			at--;
		}
		this.left.add(at, part);
	}

	private double sum(int from, int count) {
		double sum = 0;
		for (int index = from; index < from + count; index++) {
			sum += this.left.get(index).tokens();
		}
		return sum;
	}

	private void placeRest() {
		for (Part part : this.left) {
			int best = -1;
			double bestTime = Double.POSITIVE_INFINITY;
			for (int rank = 0; rank < this.bins.size(); rank++) {
				List<Part> bin = this.bins.get(rank);
				double time = bin.stream().mapToDouble(Part::tokens).sum() / this.speeds[rank];
				boolean free = bin.size() < this.shape.slots()
						&& bin.stream().noneMatch((other) -> other.expert() == part.expert());
				if (free && time < bestTime) {
					best = rank;
					bestTime = time;
				}
			}
			if (best >= 0) {
				this.bins.get(best).add(part);
			}
		}
	}

	private int[] matched(LayerFit current) {
		List<Overlap> overlaps = new ArrayList<>();
		for (int bin = 0; bin < this.bins.size(); bin++) {
			int[] shared = new int[this.bins.size()];
			for (Part part : this.bins.get(bin)) {
				for (int index = 0; index < current.replicaCount(part.expert()); index++) {
					shared[current.replicaAt(part.expert(), index) / this.shape.slots()]++;
				}
			}
			for (int rank = 0; rank < shared.length; rank++) {
				if (shared[rank] > 0 && sameSpeed(bin, rank)) {
					overlaps.add(new Overlap(bin, rank, shared[rank]));
				}
			}
		}
		overlaps.sort(Comparator.comparingInt(Overlap::shared).reversed());
		return assign(overlaps);
	}

	private int[] assign(List<Overlap> overlaps) {
		int[] rankOfBin = new int[this.bins.size()];
		boolean[] taken = new boolean[this.bins.size()];
		Arrays.fill(rankOfBin, -1);
		for (Overlap overlap : overlaps) {
			if (rankOfBin[overlap.bin()] < 0 && !taken[overlap.rank()]) {
				rankOfBin[overlap.bin()] = overlap.rank();
				taken[overlap.rank()] = true;
			}
		}
		for (int bin = 0; bin < rankOfBin.length; bin++) {
			for (int rank = 0; rank < taken.length && rankOfBin[bin] < 0; rank++) {
				if (!taken[rank] && sameSpeed(bin, rank)) {
					rankOfBin[bin] = rank;
					taken[rank] = true;
				}
			}
		}
		return rankOfBin;
	}

	private boolean sameSpeed(int one, int other) {
		return Math.round(this.speeds[one] / SPEED_CLASS) == Math.round(this.speeds[other] / SPEED_CLASS);
	}

	private LayerFit layer(int[] rankOfBin) {
		LayerFit fit = LayerFit.ofEmpty(this.shape, this.loads, this.speeds);
		for (int bin = 0; bin < rankOfBin.length; bin++) {
			int at = rankOfBin[bin] * this.shape.slots();
			for (Part part : this.bins.get(bin)) {
				fit.put(at, part.expert());
				fit.setTokens(at, part.tokens());
				at++;
			}
		}
		return fit;
	}

	/** Tokens of an expert. */
	private record Part(int expert, double tokens) {
	}

	/** How many experts of a bin a rank holds now. */
	private record Overlap(int bin, int rank, int shared) {
	}

}
