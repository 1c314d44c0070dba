package io.bulrushrouter.experts.live;

/**
 * The limits of one placement plan.
 *
 * @param slotsPerSet the maximum number of experts of one set that a rank can hold
 * @param maxCopiesPerSet the maximum number of experts of one set that a rank copies for
 * the plan
 * @param maxCopiesPerRank the maximum number of experts of all sets that a rank copies
 * for the plan
 */
public record PlacementLimits(int slotsPerSet, int maxCopiesPerSet, int maxCopiesPerRank) {
}
