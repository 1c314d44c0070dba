package io.bulrushrouter.ranks;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.bulrushrouter.experts.live.RankStatus;
import io.bulrushrouter.ranks.RankEngine.LocalExperts;

/**
 * Makes reports of the engine beside this process.
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
	 * Makes a report.
	 * @param withCounts whether it is to hold the counts
	 * @return the report, or empty if the engine did not answer
	 */
	CompletionStage<Optional<RankReport>> report(boolean withCounts) {
		return counts(withCounts)
			.thenCompose((counts) -> this.engine.status().thenCompose((status) -> buildReport(status, counts)));
	}

	/**
	 * Makes a report with a status that was just asked for.
	 * @param status the status
	 * @param withCounts whether it is to hold the counts
	 * @return the report, or empty if the engine did not answer
	 */
	CompletionStage<Optional<RankReport>> report(RankStatus status, boolean withCounts) {
		return counts(withCounts).thenCompose((counts) -> buildReport(Optional.of(status), counts));
	}

	private CompletionStage<Optional<long[]>> counts(boolean wanted) {
		return wanted ? this.engine.counts() : CompletableFuture.completedFuture(Optional.of(NO_COUNTS));
	}

	private CompletionStage<Optional<RankReport>> buildReport(Optional<RankStatus> status, Optional<long[]> counts) {
		if (status.isEmpty() || counts.isEmpty()) {
			return CompletableFuture.completedFuture(Optional.empty());
		}
		RankStatus known = status.get();
		if (this.cachedExperts != null && this.cachedExperts.version() == known.map()
				&& this.cachedEpoch == known.epoch()) {
			return CompletableFuture
				.completedFuture(Optional.of(new RankReport(known, counts.get(), this.cachedExperts.experts())));
		}
		return this.engine.experts().thenApply((read) -> {
			if (read.isEmpty() || read.get().version() != known.map()) {
				return Optional.empty();
			}
			this.cachedExperts = read.get();
			this.cachedEpoch = known.epoch();
			return Optional.of(new RankReport(known, counts.get(), this.cachedExperts.experts()));
		});
	}

}
