package io.bulrushrouter.ranks;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.bulrushrouter.experts.live.GroupView;
import io.bulrushrouter.experts.live.RankStatus;

/**
 * The reports of all ranks of one group and epoch, collected in one round.
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
	 * @return the reports, or empty unless all ranks of the group answered in the same
	 * epoch
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
		return GroupView.of(ownStatus, reports.stream().map(RankReport::status).toList())
			.map((view) -> new GroupReports(view, reports, connections));
	}

	/**
	 * Returns the expert map in use.
	 * @return the experts by set and rank, or empty if the ranks report different
	 * versions, since a switch took place during the round
	 */
	Optional<int[][][]> mapInUse() {
		int sets = this.reports.get(0).experts().length;
		long version = this.view.rank(0).map();
		int[][][] experts = new int[sets][this.view.size()][];
		for (RankReport report : this.reports) {
			if (report.status().map() != version) {
				return Optional.empty();
			}
			for (int set = 0; set < sets; set++) {
				experts[set][report.status().rank()] = report.experts()[set];
			}
		}
		return Optional.of(experts);
	}

}
