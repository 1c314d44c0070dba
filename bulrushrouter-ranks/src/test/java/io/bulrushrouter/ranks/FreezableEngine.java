package io.bulrushrouter.ranks;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.bulrushrouter.experts.live.OrderResult;
import io.bulrushrouter.experts.live.RankOrder;
import io.bulrushrouter.experts.live.RankStatus;

/**
 * An engine whose answers do not reach a sidecar while the sidecar, or the engine's
 * instance, is frozen. A call that is running as the freeze begins still takes effect.
 *
 * @param engine the engine
 * @param frozen returns whether the sidecar or the instance is frozen
 * @param unanswered receives the completions of calls without an answer, to be run when
 * the sidecar notices
 */
record FreezableEngine(RankEngine engine, BooleanSupplier frozen, Consumer<Runnable> unanswered) implements RankEngine {

	private <T> CompletionStage<T> call(Supplier<CompletionStage<T>> request, T noAnswer) {
		if (this.frozen.getAsBoolean()) {
			return completeUnanswered(noAnswer);
		}
		CompletionStage<T> answer = request.get();
		return this.frozen.getAsBoolean() ? completeUnanswered(noAnswer) : answer;
	}

	private <T> CompletionStage<T> completeUnanswered(T noAnswer) {
		CompletableFuture<T> answer = new CompletableFuture<>();
		this.unanswered.accept(() -> answer.complete(noAnswer));
		return answer;
	}

	@Override
	public CompletionStage<Optional<RankStatus>> status() {
		return call(this.engine::status, Optional.empty());
	}

	@Override
	public CompletionStage<Optional<long[]>> counts() {
		return call(this.engine::counts, Optional.empty());
	}

	@Override
	public CompletionStage<Optional<LocalExperts>> experts() {
		return call(this.engine::experts, Optional.empty());
	}

	@Override
	public CompletionStage<OrderResult> order(RankOrder order, long epoch, long fence) {
		return call(() -> this.engine.order(order, epoch, fence), OrderResult.UNKNOWN);
	}

	@Override
	public void close() {
		this.engine.close();
	}

}
