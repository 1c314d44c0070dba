package io.bulrushrouter.experts.live;

/**
 * An order addressed to a rank.
 *
 * @param rank the index of the receiving rank
 * @param order the order
 */
public record RankCommand(int rank, RankOrder order) {
}
