package io.bulrushrouter.ranks;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.bulrushrouter.experts.live.GroupView;
import io.bulrushrouter.experts.live.RankStatus;

/**
 * What the ranks of one group and epoch reported in one round.
 *
 * @param view the ranks' statuses
 * @param reports the reports
 * @param connections the ways to the other ranks, by rank
 */
record GroupReports(GroupView view, List<RankReport> reports, Map<Integer, RankConnection> connections) {

	/**
	 * Puts the reports of a round together.
	 * @param own the status of the rank beside this process
	 * @param ownReport the report of that rank
	 * @param others the reports of all other ranks that answered, of this group or others
	 * @return the reports, or empty unless all ranks of the group answered from one epoch
	 */
	static Optional<GroupReports> of(RankStatus own, RankReport ownReport, Map<RankConnection, RankReport> others) {
		Map<Integer, RankConnection> links = new HashMap<>();
		List<RankReport> reports = new ArrayList<>(List.of(ownReport));
		others.forEach((link, report) -> {
			RankStatus status = report.status();
			if (status.group().equals(own.group()) && status.epoch() == own.epoch()) {
				links.put(status.rank(), link);
				reports.add(report);
			}
		});
		return GroupView.of(own, reports.stream().map(RankReport::status).toList())
			.map((view) -> new GroupReports(view, reports, links));
	}

	/**
	 * Returns the map in use.
	 * @return the experts by set and rank, or empty if a switch happened while the ranks
	 * were asked one after the other
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
