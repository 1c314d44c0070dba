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
final class Gathering {

	private final RankStatus own;

	private final Set<RankLink> elsewhere;

	private final Map<RankLink, RankReport> answers = new LinkedHashMap<>();

	private final CompletableFuture<Optional<GroupReports>> result = new CompletableFuture<>();

	private Optional<RankReport> ownReport = Optional.empty();

	private int pending = 1;

	/**
	 * Begins to gather.
	 * @param own the status of the rank beside this process
	 * @param elsewhere takes the ways to ranks that turn out to be in other groups; it is
	 * emptied if the group is not whole, since one of them may have replaced a rank
	 */
	Gathering(RankStatus own, Set<RankLink> elsewhere) {
		this.own = own;
		this.elsewhere = elsewhere;
	}

	/**
	 * Waits for another rank's report.
	 * @param link the way to the rank
	 * @param report the report
	 */
	void await(RankLink link, CompletionStage<Optional<RankReport>> report) {
		this.pending++;
		report.whenComplete((answer, failure) -> {
			if (failure != null) {
				this.result.completeExceptionally(failure);
				return;
			}
			answer.ifPresent((known) -> note(link, known));
			answered();
		});
	}

	private void note(RankLink link, RankReport report) {
		if (report.status().group().equals(this.own.group())) {
			this.answers.put(link, report);
		}
		else {
			this.elsewhere.add(link);
		}
	}

	/**
	 * Waits for the report of the rank beside this process, after all others.
	 * @param report the report
	 * @return the reports, or empty unless all ranks of the group answered from one epoch
	 */
	CompletionStage<Optional<GroupReports>> awaitOwn(CompletionStage<Optional<RankReport>> report) {
		report.whenComplete((answer, failure) -> {
			if (failure != null) {
				this.result.completeExceptionally(failure);
				return;
			}
			this.ownReport = answer;
			answered();
		});
		return this.result;
	}

	private void answered() {
		this.pending--;
		if (this.result.isDone() || (this.pending > 0 && this.answers.size() < this.own.size() - 1)) {
			return;
		}
		Optional<GroupReports> reports = this.ownReport
			.flatMap((known) -> GroupReports.of(this.own, known, this.answers));
		if (reports.isPresent()) {
			this.result.complete(reports);
		}
		else if (this.pending == 0) {
			this.elsewhere.clear();
			this.result.complete(Optional.empty());
		}
	}

}
