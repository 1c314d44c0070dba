package io.bulrushrouter.ranks;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.experts.live.RankStatus;

import static com.google.common.truth.Truth.assertThat;

/**
 * The reports of one round.
 */
class GatheringTests {

	private static final int RANKS = 3;

	private final Set<RankLink> elsewhere = new HashSet<>();

	private final Gathering gathering = new Gathering(report("g", 0).status(), this.elsewhere);

	private final CompletableFuture<Optional<RankReport>> second = await();

	private final CompletableFuture<Optional<RankReport>> third = await();

	private final CompletableFuture<Optional<RankReport>> stranger = await();

	private CompletableFuture<Optional<RankReport>> await() {
		CompletableFuture<Optional<RankReport>> answer = new CompletableFuture<>();
		this.gathering.await(new RankLink("link", null, null, null), answer);
		return answer;
	}

	private CompletableFuture<Optional<GroupReports>> own() {
		return this.gathering.awaitOwn(CompletableFuture.completedFuture(Optional.of(report("g", 0))))
			.toCompletableFuture();
	}

	private static RankReport report(String group, int rank) {
		RankStatus status = new RankStatus(group, 1, rank, RANKS, true, 0, 5, 0, OptionalLong.empty(), Optional.empty(),
				OptionalLong.empty());
		return new RankReport(status, new long[0], new int[][] { { rank } });
	}

	@Test
	void areWholeOnceTheGroupHasAnsweredWhoeverElseIsSilent() {
		this.second.complete(Optional.of(report("g", 1)));
		CompletableFuture<Optional<GroupReports>> reports = own();
		assertThat(reports.isDone()).isFalse();
		this.third.complete(Optional.of(report("g", 2)));
		assertThat(reports.join().orElseThrow().view().size()).isEqualTo(RANKS);
	}

	@Test
	void nameRanksOfOtherGroups() {
		this.stranger.complete(Optional.of(report("other", 1)));
		this.second.complete(Optional.of(report("g", 1)));
		this.third.complete(Optional.of(report("g", 2)));
		assertThat(own().join().isPresent()).isTrue();
		assertThat(this.elsewhere).hasSize(1);
	}

	@Test
	void areNoneIfARankOfTheGroupDoesNotAnswer() {
		this.stranger.complete(Optional.of(report("other", 1)));
		this.second.complete(Optional.of(report("g", 1)));
		CompletableFuture<Optional<GroupReports>> reports = own();
		assertThat(reports.isDone()).isFalse();
		this.third.complete(Optional.empty());
		assertThat(reports.join()).isEqualTo(Optional.empty());
		assertThat(this.elsewhere).isEmpty();
	}

	@Test
	void endWithTheErrorOfAQuestion() {
		this.second.completeExceptionally(new IllegalStateException("lost"));
		assertThat(own().isCompletedExceptionally()).isTrue();
	}

}
