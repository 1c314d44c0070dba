package io.bulrushrouter.gateway.config;

/**
 * The published figures of the experts of a service's rank groups.
 *
 * @param layerSets the sets of layers that share a placement
 * @param experts the experts of a set
 * @param expertSlots the experts of a set that a rank has room for
 * @param spareSlots the experts of a set that a rank can copy for one map
 * @param copySeconds the time that a rank needs to copy one expert, in seconds
 */
public record ExpertSpec(int layerSets, int experts, int expertSlots, int spareSlots, double copySeconds) {
}
