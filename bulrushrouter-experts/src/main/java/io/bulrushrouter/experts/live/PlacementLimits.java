package io.bulrushrouter.experts.live;

/**
 * What one plan may do.
 *
 * @param places the experts of one set that a rank has room for
 * @param newOfSet the experts of one set that a rank may copy for one plan
 * @param newOfRank the experts of all sets that a rank may copy for one plan
 */
public record PlacementLimits(int places, int newOfSet, int newOfRank) {
}
