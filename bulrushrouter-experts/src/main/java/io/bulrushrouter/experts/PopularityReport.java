package io.bulrushrouter.experts;

/**
 * The number of tokens that one rank routed to each expert of one layer in a time span.
 *
 * @param rank the rank, from 0
 * @param sequence the sequence number of the rank's report, from 0; duplicates are
 * dropped
 * @param layer the layer, from 0
 * @param endNanos the end of the time span, in nanoseconds
 * @param tokens the number of tokens by expert; not copied and must not be modified
 */
public record PopularityReport(int rank, long sequence, int layer, long endNanos, int[] tokens) {
}
