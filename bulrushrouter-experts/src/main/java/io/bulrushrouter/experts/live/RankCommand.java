package io.bulrushrouter.experts.live;

/**
 * An order and the rank that it goes to.
 *
 * @param rank the rank
 * @param order the order
 */
public record RankCommand(int rank, RankOrder order) {
}
