package io.bulrushrouter.ranks;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.IntStream;

import io.bulrushrouter.experts.live.GroupView;
import io.bulrushrouter.experts.live.RankStatus;

/**
 * The reports of all ranks of one group and epoch, collected in one round. The one of the
 * leader's rank may be missing.
 *
 * @param view the statuses of the ranks
 * @param reports the reports
 * @param connections the connections to the other ranks, by rank
 */
record GroupReports(GroupView view, List<RankReport> reports, Map<Integer, RankConnection> connections) {

	/**
	 * Combines the reports of a round.
	 * @param ownStatus the status of this sidecar's rank
	 * @param ownReport the report of that rank
	 * @param others the reports of the other ranks that answered, of this or any other
	 * group
	 * @return the reports, or empty unless all ranks of the group, except perhaps the
	 * leader's, answered in the same epoch
	 */
	static Optional<GroupReports> of(RankStatus ownStatus, RankReport ownReport,
			Map<RankConnection, RankReport> others) {
		Map<Integer, RankConnection> connections = new HashMap<>();
		List<RankReport> reports = new ArrayList<>(List.of(ownReport));
		others.forEach((connection, report) -> {
			RankStatus status = report.status();
			if (status.group().equals(ownStatus.group()) && status.epoch() == ownStatus.epoch()) {
				connections.put(status.rank(), connection);
				reports.add(report);
			}
		});
		return GroupView.ofAllButLeader(ownStatus, reports.stream().map(RankReport::status).toList())
			.map((view) -> new GroupReports(view, reports, connections));
	}

	/**
	 * Returns the expert map in use. If the report of the leader's rank is missing, that
	 * rank is given the experts that no other rank has.
	 * @param expertCount the number of experts of a set
	 * @return the experts by set and rank, or empty if the ranks report different
	 * versions, since a switch took place during the round
	 */
	Optional<int[][][]> mapInUse(int expertCount) {
		int sets = this.reports.get(0).experts().length;
		long version = this.view.rank(GroupView.HOLD_RANK).map();
		int[][][] experts = new int[sets][this.view.size()][];
		for (RankReport report : this.reports) {
			if (report.status().map() != version) {
				return Optional.empty();
			}
			for (int set = 0; set < sets; set++) {
				experts[set][report.status().rank()] = report.experts()[set];
			}
		}
		if (!this.view.complete()) {
			Arrays.stream(experts).forEach((expertsByRank) -> fillLeader(expertsByRank, expertCount));
		}
		return Optional.of(experts);
	}

	private static void fillLeader(int[][] expertsByRank, int expertCount) {
		BitSet placed = new BitSet();
		Arrays.stream(expertsByRank).filter(Objects::nonNull).flatMapToInt(Arrays::stream).forEach(placed::set);
		expertsByRank[GroupView.LEADER_RANK] = IntStream.range(0, expertCount)
			.filter((expert) -> !placed.get(expert))
			.toArray();
	}

}
