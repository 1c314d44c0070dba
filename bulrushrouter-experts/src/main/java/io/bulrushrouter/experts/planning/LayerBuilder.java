package io.bulrushrouter.experts.planning;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

import io.bulrushrouter.experts.GroupShape;

/**
 * Builds a layer from scratch so that all ranks take equal time. Rank by rank, all slots
 * but one are given the smallest remaining experts, unsplit, and the last slot is filled
 * with a part of the largest one, as in the alias method (Walker 1977, Vose 1991) with
 * more than two entries per bin. Each rank completes one expert for every slot but one,
 * so all experts fit if {@code experts <= ranks * (slots - 1) + 1}; parts that remain are
 * placed on the rank with the lowest time that has a free slot.
 */
final class LayerBuilder {

	private static final double SPEED_BUCKET_WIDTH = 0.05;

	private static final double ROUNDING_TOLERANCE = 1e-9;

	private final GroupShape shape;

	private final double[] expertLoads;

	private final double[] speeds;

	private final List<ExpertTokens> remaining = new ArrayList<>();

	private final List<List<ExpertTokens>> bins = new ArrayList<>();

	private LayerBuilder(GroupShape shape, double[] expertLoads, double[] speeds) {
		this.shape = shape;
		this.expertLoads = expertLoads;
		this.speeds = speeds;
	}

	/**
	 * Builds a layer regardless of which replicas the ranks hold.
	 * @param shape the shape of the group
	 * @param expertLoads the tokens of each expert
	 * @param speeds the speed of each rank
	 * @return the layer
	 */
	static LayerPlacement build(GroupShape shape, double[] expertLoads, double[] speeds) {
		LayerBuilder builder = new LayerBuilder(shape, expertLoads, speeds);
		builder.fillBins();
		int[] rankOfBin = new int[shape.ranks()];
		Arrays.setAll(rankOfBin, (bin) -> bin);
		return builder.toLayer(rankOfBin);
	}

	/**
	 * Builds a layer and assigns each bin to the rank of similar speed that already holds
	 * most of its experts, to keep weight loads low.
	 * @param shape the shape of the group
	 * @param expertLoads the tokens of each expert
	 * @param speeds the speed of each rank
	 * @param current the layer on the map in use
	 * @return the layer
	 */
	static LayerPlacement buildReusing(GroupShape shape, double[] expertLoads, double[] speeds,
			LayerPlacement current) {
		LayerBuilder builder = new LayerBuilder(shape, expertLoads, speeds);
		builder.fillBins();
		return builder.toLayer(builder.matchRanks(current));
	}

	private void fillBins() {
		for (int expert = 0; expert < this.expertLoads.length; expert++) {
			this.remaining.add(new ExpertTokens(expert, this.expertLoads[expert]));
		}
		this.remaining.sort(Comparator.comparingDouble(ExpertTokens::tokens));
		for (int rank = 0; rank < this.shape.ranks(); rank++) {
			this.bins.add(new ArrayList<>());
		}
		double time = Arrays.stream(this.expertLoads).sum() / Arrays.stream(this.speeds).sum();
		for (int rank : ranksBySpeed()) {
			fillBin(this.bins.get(rank), time * this.speeds[rank]);
		}
		placeRemaining();
	}

	private int[] ranksBySpeed() {
		Integer[] ranks = new Integer[this.shape.ranks()];
		Arrays.setAll(ranks, (rank) -> rank);
		Arrays.sort(ranks, Comparator.comparingDouble((rank) -> this.speeds[rank]));
		return Arrays.stream(ranks).mapToInt(Integer::intValue).toArray();
	}

	private void fillBin(List<ExpertTokens> bin, double capacity) {
		if (this.remaining.isEmpty()) {
			return;
		}
		int count = Math.min(this.shape.slots() - 1, this.remaining.size() - 1);
		while (count > 0 && sumTokens(0, count) > capacity) {
			count--;
		}
		ExpertTokens largest = this.remaining.remove(this.remaining.size() - 1);
		int from = 0;
		while (from + count < this.remaining.size() && sumTokens(from, count) + largest.tokens() < capacity
				&& sumTokens(from + 1, count) <= capacity) {
			from++;
		}
		double remainingCapacity = capacity - sumTokens(from, count);
		List<ExpertTokens> wholeExperts = this.remaining.subList(from, from + count);
		bin.addAll(wholeExperts);
		wholeExperts.clear();
		split(bin, largest, remainingCapacity);
	}

	private void split(List<ExpertTokens> bin, ExpertTokens largest, double remainingCapacity) {
		double remainder = largest.tokens() - remainingCapacity;
		if (remainder <= ROUNDING_TOLERANCE * remainingCapacity) {
			bin.add(largest);
			return;
		}
		if (remainingCapacity > 0) {
			bin.add(new ExpertTokens(largest.expert(), remainingCapacity));
		}
		ExpertTokens part = new ExpertTokens(largest.expert(), remainder);
		int index = this.remaining.size();
		while (index > 0 && this.remaining.get(index - 1).tokens() > remainder) {
			index--;
		}
		this.remaining.add(index, part);
	}

	private double sumTokens(int from, int count) {
		double sum = 0;
		for (int index = from; index < from + count; index++) {
			sum += this.remaining.get(index).tokens();
		}
		return sum;
	}

	private void placeRemaining() {
		for (ExpertTokens part : this.remaining) {
			int bestRank = -1;
			double bestTime = Double.POSITIVE_INFINITY;
			for (int rank = 0; rank < this.bins.size(); rank++) {
				List<ExpertTokens> bin = this.bins.get(rank);
				double time = bin.stream().mapToDouble(ExpertTokens::tokens).sum() / this.speeds[rank];
				boolean fits = bin.size() < this.shape.slots()
						&& bin.stream().noneMatch((other) -> other.expert() == part.expert());
				if (fits && time < bestTime) {
					bestRank = rank;
					bestTime = time;
				}
			}
			if (bestRank >= 0) {
				this.bins.get(bestRank).add(part);
			}
		}
	}

	private int[] matchRanks(LayerPlacement current) {
		List<Overlap> overlaps = new ArrayList<>();
		for (int bin = 0; bin < this.bins.size(); bin++) {
			int[] sharedByRank = new int[this.bins.size()];
			for (ExpertTokens part : this.bins.get(bin)) {
				for (int index = 0; index < current.replicaCount(part.expert()); index++) {
					sharedByRank[current.replicaSlot(part.expert(), index) / this.shape.slots()]++;
				}
			}
			for (int rank = 0; rank < sharedByRank.length; rank++) {
				if (sharedByRank[rank] > 0 && sameSpeed(bin, rank)) {
					overlaps.add(new Overlap(bin, rank, sharedByRank[rank]));
				}
			}
		}
		overlaps.sort(Comparator.comparingInt(Overlap::sharedExperts).reversed());
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
		return Math.round(this.speeds[one] / SPEED_BUCKET_WIDTH) == Math.round(this.speeds[other] / SPEED_BUCKET_WIDTH);
	}

	private LayerPlacement toLayer(int[] rankOfBin) {
		LayerPlacement placement = LayerPlacement.ofEmpty(this.shape, this.expertLoads, this.speeds);
		for (int bin = 0; bin < rankOfBin.length; bin++) {
			int layerSlot = rankOfBin[bin] * this.shape.slots();
			for (ExpertTokens part : this.bins.get(bin)) {
				placement.put(layerSlot, part.expert());
				placement.setTokens(layerSlot, part.tokens());
				layerSlot++;
			}
		}
		return placement;
	}

	/** All or a part of the tokens of an expert. */
	private record ExpertTokens(int expert, double tokens) {
	}

	/** The number of experts of a bin that a rank already holds. */
	private record Overlap(int bin, int rank, int sharedExperts) {
	}

}
