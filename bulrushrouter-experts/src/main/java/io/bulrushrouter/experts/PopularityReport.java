package io.bulrushrouter.experts;

/**
 * The tokens that one rank routed to each expert of one layer in a span of time.
 *
 * @param rank the rank
 * @param sequence the rank's count of reports, from 0; a repeated one is dropped
 * @param layer the layer
 * @param endNanos the end of the span
 * @param tokens the tokens by expert; not copied and not to be changed
 */
public record PopularityReport(int rank, long sequence, int layer, long endNanos, int[] tokens) {
}
