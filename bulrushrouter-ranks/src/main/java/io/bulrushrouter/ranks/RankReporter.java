package io.bulrushrouter.ranks;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import io.bulrushrouter.experts.live.ChoiceCounter;
import io.bulrushrouter.experts.live.ChoiceSample;
import io.bulrushrouter.experts.live.RankStatus;
import io.bulrushrouter.kernel.TimeSource;
import io.bulrushrouter.ranks.RankEngine.LocalExperts;

/**
 * Creates the reports of one engine. The experts are read again only if the epoch or the
 * version of the map has changed.
 */
final class RankReporter {

	private final RankEngine engine;

	private final TimeSource clock;

	private final ChoiceCounter choiceCounter = new ChoiceCounter();

	private LocalExperts cachedExperts;

	private long cachedEpoch = -1;

	RankReporter(RankEngine engine, TimeSource clock) {
		this.engine = engine;
		this.clock = clock;
	}

	/**
	 * Creates a report.
	 * @return the report, or empty if the engine did not answer or is in no group
	 */
	CompletionStage<Optional<RankReport>> report() {
		return this.engine.status()
			.thenCompose((status) -> status.map(this::report)
				.orElseGet(() -> CompletableFuture.completedFuture(Optional.empty())));
	}

	/**
	 * Creates a report from a status that was just read.
	 * @param status the status
	 * @return the report, or empty if the engine did not answer
	 */
	CompletionStage<Optional<RankReport>> report(RankStatus status) {
		if (this.cachedExperts != null && this.cachedExperts.version() == status.map()
				&& this.cachedEpoch == status.epoch()) {
			return CompletableFuture.completedFuture(Optional.of(new RankReport(status, this.cachedExperts.experts())));
		}
		return this.engine.experts().thenApply((experts) -> {
			if (experts.isEmpty() || experts.get().version() != status.map()) {
				return Optional.empty();
			}
			this.cachedExperts = experts.get();
			this.cachedEpoch = status.epoch();
			return Optional.of(new RankReport(status, this.cachedExperts.experts()));
		});
	}

	/**
	 * Returns how often each expert was chosen since the previous call.
	 * @return the choices, or empty if the engine did not answer or no report was made
	 * before, which tells the epoch
	 */
	CompletionStage<Optional<ChoiceSample>> choices() {
		if (this.cachedExperts == null) {
			return CompletableFuture.completedFuture(Optional.empty());
		}
		return this.engine.counts()
			.thenApply((counts) -> counts.flatMap((cumulative) -> this.choiceCounter.read(this.cachedEpoch, cumulative,
					TimeUnit.NANOSECONDS.toMillis(this.clock.nanos()))));
	}

	/**
	 * Returns the number of layer sets of the engine.
	 * @return the number, or 0 before the first report
	 */
	int layerSets() {
		return (this.cachedExperts != null) ? this.cachedExperts.experts().length : 0;
	}

}
