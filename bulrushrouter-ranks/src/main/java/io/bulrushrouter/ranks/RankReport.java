package io.bulrushrouter.ranks;

import io.bulrushrouter.experts.live.RankStatus;

/**
 * The report of a rank to the leader of its group.
 *
 * @param status the rank's status
 * @param experts the experts that the map in use places on the rank, by set
 */
record RankReport(RankStatus status, int[][] experts) {
}
