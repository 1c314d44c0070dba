package io.bulrushrouter.experts.live;

/**
 * What one plan may do.
 *
 * @param slotsPerSet the experts of one set that a rank has room for
 * @param maxCopiesPerSet the experts of one set that a rank may copy for one plan
 * @param maxCopiesPerRank the experts of all sets that a rank may copy for one plan
 */
public record PlacementLimits(int slotsPerSet, int maxCopiesPerSet, int maxCopiesPerRank) {
}
