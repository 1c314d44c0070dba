package io.bulrushrouter.ranks;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.bulrushrouter.experts.live.RankStatus;

/**
 * Gathers the reports of one round. It ends as soon as all ranks of the group have
 * answered: ranks of other groups, or of none, must not delay it.
 */
final class ReportCollector {

	private final RankStatus ownStatus;

	private final Set<RankConnection> otherGroupConnections;

	private final Map<RankConnection, RankReport> reports = new LinkedHashMap<>();

	private final CompletableFuture<Optional<GroupReports>> result = new CompletableFuture<>();

	private Optional<RankReport> ownReport = Optional.empty();

	private int pendingReports = 1;

	/**
	 * Begins to gather.
	 * @param own the status of the rank beside this process
	 * @param elsewhere takes the ways to ranks that turn out to be in other groups; it is
	 * emptied if the group is not whole, since one of them may have replaced a rank
	 */
	ReportCollector(RankStatus own, Set<RankConnection> elsewhere) {
		this.ownStatus = own;
		this.otherGroupConnections = elsewhere;
	}

	/**
	 * Waits for another rank's report.
	 * @param link the way to the rank
	 * @param report the report
	 */
	void collect(RankConnection link, CompletionStage<Optional<RankReport>> report) {
		this.pendingReports++;
		report.whenComplete((answer, failure) -> {
			if (failure != null) {
				this.result.completeExceptionally(failure);
				return;
			}
			answer.ifPresent((known) -> recordReport(link, known));
			completeIfReady();
		});
	}

	private void recordReport(RankConnection link, RankReport report) {
		if (report.status().group().equals(this.ownStatus.group())) {
			this.reports.put(link, report);
		}
		else {
			this.otherGroupConnections.add(link);
		}
	}

	/**
	 * Waits for the report of the rank beside this process, after all others.
	 * @param report the report
	 * @return the reports, or empty unless all ranks of the group answered from one epoch
	 */
	CompletionStage<Optional<GroupReports>> collectOwn(CompletionStage<Optional<RankReport>> report) {
		report.whenComplete((answer, failure) -> {
			if (failure != null) {
				this.result.completeExceptionally(failure);
				return;
			}
			this.ownReport = answer;
			completeIfReady();
		});
		return this.result;
	}

	private void completeIfReady() {
		this.pendingReports--;
		if (this.result.isDone() || (this.pendingReports > 0 && this.reports.size() < this.ownStatus.size() - 1)) {
			return;
		}
		Optional<GroupReports> groupReports = this.ownReport
			.flatMap((known) -> GroupReports.of(this.ownStatus, known, this.reports));
		if (groupReports.isPresent()) {
			this.result.complete(groupReports);
		}
		else if (this.pendingReports == 0) {
			this.otherGroupConnections.clear();
			this.result.complete(Optional.empty());
		}
	}

}
