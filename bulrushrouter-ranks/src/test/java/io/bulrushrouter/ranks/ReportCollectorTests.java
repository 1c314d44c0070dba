package io.bulrushrouter.ranks;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.experts.live.RankStatus;
import io.bulrushrouter.gateway.source.UpstreamRecord;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of collecting the reports of one round.
 */
class ReportCollectorTests {

	private static final int RANKS = 3;

	private final Set<RankConnection> otherGroupConnections = new HashSet<>();

	private final ReportCollector collector = new ReportCollector(report("g", 0).status(), this.otherGroupConnections);

	private final CompletableFuture<Optional<RankReport>> second = collect();

	private final CompletableFuture<Optional<RankReport>> third = collect();

	private final CompletableFuture<Optional<RankReport>> otherGroup = collect();

	private CompletableFuture<Optional<RankReport>> collect() {
		return collect(this.collector);
	}

	private static CompletableFuture<Optional<RankReport>> collect(ReportCollector collector) {
		CompletableFuture<Optional<RankReport>> answer = new CompletableFuture<>();
		UpstreamRecord upstream = new UpstreamRecord("u", "service", new InetSocketAddress("10.0.0.9", 80), "a", 8,
				false, 0);
		collector.collect(new RankConnection(upstream, null, null, null, null), answer);
		return answer;
	}

	private CompletableFuture<Optional<GroupReports>> collectOwn() {
		return this.collector.collectOwn(CompletableFuture.completedFuture(Optional.of(report("g", 0))))
			.toCompletableFuture();
	}

	private static RankReport report(String group, int rank) {
		RankStatus status = new RankStatus(group, 1, rank, RANKS, true, 0, 5, 0, OptionalLong.empty(), Optional.empty(),
				OptionalLong.empty());
		return new RankReport(status, new int[][] { { rank } });
	}

	@Test
	void completesOnceTheGroupHasAnsweredEvenIfOthersHaveNot() {
		this.second.complete(Optional.of(report("g", 1)));
		CompletableFuture<Optional<GroupReports>> reports = collectOwn();
		assertThat(reports.isDone()).isFalse();
		this.third.complete(Optional.of(report("g", 2)));
		assertThat(reports.join().orElseThrow().view().size()).isEqualTo(RANKS);
	}

	@Test
	void completesWithoutTheLeaderOnceItIsOverdueAndAllOthersHaveAnswered() {
		OverdueLeader round = new OverdueLeader();
		assertThat(round.reports.isDone()).isFalse();
		round.other.complete(Optional.of(report("g", 2)));
		assertThat(round.reports.join().orElseThrow().view().complete()).isFalse();
		assertThat(round.leader.isDone()).isFalse();
	}

	@Test
	void waitsForAllOthersThoughTheLeaderIsOverdue() {
		OverdueLeader round = new OverdueLeader();
		round.leader.complete(Optional.of(report("g", 0)));
		assertThat(round.reports.isDone()).isFalse();
		round.other.complete(Optional.of(report("g", 2)));
		assertThat(round.reports.join().orElseThrow().view().complete()).isTrue();
	}

	@Test
	void recordsConnectionsToRanksOfOtherGroups() {
		this.otherGroup.complete(Optional.of(report("other", 1)));
		this.second.complete(Optional.of(report("g", 1)));
		this.third.complete(Optional.of(report("g", 2)));
		assertThat(collectOwn().join().isPresent()).isTrue();
		assertThat(this.otherGroupConnections).hasSize(1);
	}

	@Test
	void returnsNothingIfARankOfTheGroupDoesNotAnswer() {
		this.otherGroup.complete(Optional.of(report("other", 1)));
		this.second.complete(Optional.of(report("g", 1)));
		CompletableFuture<Optional<GroupReports>> reports = collectOwn();
		assertThat(reports.isDone()).isFalse();
		this.third.complete(Optional.empty());
		assertThat(reports.join()).isEqualTo(Optional.empty());
		assertThat(this.collector.answered()).isEqualTo(1);
		assertThat(this.collector.missing(5)).isEqualTo("10.0.0.9");
		assertThat(this.otherGroupConnections).isEmpty();
	}

	@Test
	void failsWithTheErrorOfARequest() {
		this.second.completeExceptionally(new IllegalStateException("lost"));
		assertThat(collectOwn().isCompletedExceptionally()).isTrue();
	}

	/**
	 * A round of the sidecar of rank 1 that no longer waits for the leader.
	 */
	private static final class OverdueLeader {

		private final ReportCollector collector = new ReportCollector(report("g", 1).status(), new HashSet<>());

		private final CompletableFuture<Optional<RankReport>> leader = collect(this.collector);

		private final CompletableFuture<Optional<RankReport>> other = collect(this.collector);

		private final CompletableFuture<Optional<GroupReports>> reports = this.collector
			.collectOwn(CompletableFuture.completedFuture(Optional.of(report("g", 1))))
			.toCompletableFuture();

		private OverdueLeader() {
			this.collector.leaderOverdue();
		}

	}

}
