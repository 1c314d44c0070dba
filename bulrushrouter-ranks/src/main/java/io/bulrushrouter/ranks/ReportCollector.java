package io.bulrushrouter.ranks;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;

import io.bulrushrouter.experts.live.RankStatus;

/**
 * Collects the reports of one round. The result is complete as soon as all ranks of the
 * group have answered: ranks of other groups, or of no group, must not delay it, nor a
 * leader that is overdue.
 */
final class ReportCollector {

	private final RankStatus ownStatus;

	private final Set<RankConnection> otherGroupConnections;

	private final Map<RankConnection, RankReport> reports = new LinkedHashMap<>();

	private final CompletableFuture<Optional<GroupReports>> result = new CompletableFuture<>();

	private Optional<RankReport> ownReport = Optional.empty();

	private int pendingReports = 1;

	private boolean leaderOverdue;

	private final Set<RankConnection> unanswered = new LinkedHashSet<>();

	/**
	 * Creates a collector.
	 * @param ownStatus the status of this sidecar's rank
	 * @param otherGroupConnections receives the connections to ranks that belong to other
	 * groups; it is cleared if the group is incomplete, as one of them may have replaced
	 * a rank
	 */
	ReportCollector(RankStatus ownStatus, Set<RankConnection> otherGroupConnections) {
		this.ownStatus = ownStatus;
		this.otherGroupConnections = otherGroupConnections;
	}

	/**
	 * Adds the pending report of another rank.
	 * @param connection the connection to the rank
	 * @param report the pending report
	 */
	void collect(RankConnection connection, CompletionStage<Optional<RankReport>> report) {
		this.pendingReports++;
		this.unanswered.add(connection);
		report.whenComplete((answer, failure) -> {
			if (failure != null) {
				this.result.completeExceptionally(failure);
				return;
			}
			answer.ifPresent((received) -> recordReport(connection, received));
			if (answer.isPresent()) {
				this.unanswered.remove(connection);
			}
			this.pendingReports--;
			completeIfReady();
		});
	}

	private void recordReport(RankConnection connection, RankReport report) {
		if (report.status().group().equals(this.ownStatus.group())) {
			this.reports.put(connection, report);
		}
		else {
			this.otherGroupConnections.add(connection);
		}
	}

	/**
	 * Adds the pending report of this sidecar's rank. It is added after all others.
	 * @param report the pending report
	 * @return the reports, or empty unless all ranks of the group answered in the same
	 * epoch
	 */
	CompletionStage<Optional<GroupReports>> collectOwn(CompletionStage<Optional<RankReport>> report) {
		report.whenComplete((answer, failure) -> {
			if (failure != null) {
				this.result.completeExceptionally(failure);
				return;
			}
			this.ownReport = answer;
			this.pendingReports--;
			completeIfReady();
		});
		return this.result;
	}

	/**
	 * Stops waiting for the report of the leader's rank. Others are still waited for.
	 */
	void leaderOverdue() {
		this.leaderOverdue = true;
		completeIfReady();
	}

	/**
	 * Returns the number of other ranks of the group that have answered.
	 * @return the number
	 */
	int answered() {
		return this.reports.size();
	}

	/**
	 * Returns the instances that have not answered, for the log.
	 * @param max the maximum number of instances
	 * @return the addresses, separated by commas
	 */
	String missing(int max) {
		return this.unanswered.stream()
			.limit(max)
			.map((connection) -> connection.instance().getHostAddress())
			.collect(Collectors.joining(","));
	}

	private void completeIfReady() {
		int awaited = this.ownStatus.size() - 1 - (this.leaderOverdue ? 1 : 0);
		if (this.result.isDone() || (this.pendingReports > 0 && this.reports.size() < awaited)) {
			return;
		}
		Optional<GroupReports> groupReports = this.ownReport
			.flatMap((received) -> GroupReports.of(this.ownStatus, received, this.reports));
		if (groupReports.isPresent()) {
			this.result.complete(groupReports);
		}
		else if (this.pendingReports == 0) {
			this.otherGroupConnections.clear();
			this.result.complete(Optional.empty());
		}
	}

}
