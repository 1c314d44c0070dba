package io.bulrushrouter.ranks;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.bulrushrouter.experts.live.RankStatus;
import io.bulrushrouter.ranks.RankEngine.LocalExperts;

/**
 * Creates the reports of one engine. The experts are read again only if the epoch or the
 * version of the map has changed.
 */
final class RankReporter {

	private static final long[] NO_COUNTS = {};

	private final RankEngine engine;

	private LocalExperts cachedExperts;

	private long cachedEpoch = -1;

	RankReporter(RankEngine engine) {
		this.engine = engine;
	}

	/**
	 * Creates a report.
	 * @param withCounts whether the report includes the expert counts
	 * @return the report, or empty if the engine did not answer or is in no group
	 */
	CompletionStage<Optional<RankReport>> report(boolean withCounts) {
		return counts(withCounts)
			.thenCompose((counts) -> this.engine.status().thenCompose((status) -> buildReport(status, counts)));
	}

	/**
	 * Creates a report from a status that was just read.
	 * @param status the status
	 * @param withCounts whether the report includes the expert counts
	 * @return the report, or empty if the engine did not answer
	 */
	CompletionStage<Optional<RankReport>> report(RankStatus status, boolean withCounts) {
		return counts(withCounts).thenCompose((counts) -> buildReport(Optional.of(status), counts));
	}

	private CompletionStage<Optional<long[]>> counts(boolean withCounts) {
		return withCounts ? this.engine.counts() : CompletableFuture.completedFuture(Optional.of(NO_COUNTS));
	}

	private CompletionStage<Optional<RankReport>> buildReport(Optional<RankStatus> status, Optional<long[]> counts) {
		if (status.isEmpty() || counts.isEmpty()) {
			return CompletableFuture.completedFuture(Optional.empty());
		}
		RankStatus currentStatus = status.get();
		if (this.cachedExperts != null && this.cachedExperts.version() == currentStatus.map()
				&& this.cachedEpoch == currentStatus.epoch()) {
			return CompletableFuture.completedFuture(
					Optional.of(new RankReport(currentStatus, counts.get(), this.cachedExperts.experts())));
		}
		return this.engine.experts().thenApply((experts) -> {
			if (experts.isEmpty() || experts.get().version() != currentStatus.map()) {
				return Optional.empty();
			}
			this.cachedExperts = experts.get();
			this.cachedEpoch = currentStatus.epoch();
			return Optional.of(new RankReport(currentStatus, counts.get(), this.cachedExperts.experts()));
		});
	}

}
