package io.bulrushrouter.ranks;

import io.bulrushrouter.experts.live.RankStatus;

/**
 * What the process beside a rank tells the balancer.
 *
 * @param status the rank's status
 * @param counts how often each expert was chosen, by set and expert; empty if they were
 * not asked for
 * @param experts the rank's experts of the map in use, by set
 */
record RankReport(RankStatus status, long[] counts, int[][] experts) {
}
