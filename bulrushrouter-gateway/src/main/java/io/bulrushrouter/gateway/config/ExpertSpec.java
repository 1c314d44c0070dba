package io.bulrushrouter.gateway.config;

/**
 * The published characteristics of the experts of a service's rank groups.
 *
 * @param layerSets the number of sets of layers; the layers of a set share one placement
 * @param experts the number of experts in a set of layers
 * @param expertSlots the number of experts of a set that a rank holds at most
 * @param spareSlots the number of experts of a set that a rank can copy for one new
 * expert map
 * @param copySeconds the time that a rank needs to copy one expert, in seconds
 */
public record ExpertSpec(int layerSets, int experts, int expertSlots, int spareSlots, double copySeconds) {
}
