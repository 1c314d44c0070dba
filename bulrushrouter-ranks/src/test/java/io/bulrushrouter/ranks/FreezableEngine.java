package io.bulrushrouter.ranks;

import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.bulrushrouter.experts.live.OrderResult;
import io.bulrushrouter.experts.live.RankOrder;
import io.bulrushrouter.experts.live.RankStatus;

/**
 * An engine whose answers do not reach a sidecar while the sidecar is frozen. A call that
 * is running as the freeze begins still takes effect.
 *
 * @param engine the engine
 * @param frozen returns whether the sidecar is frozen
 * @param pendingCompletions receives the completions to run when the freeze ends
 */
record FreezableEngine(RankEngine engine, BooleanSupplier frozen,
		Queue<Runnable> pendingCompletions) implements RankEngine {

	private <T> CompletionStage<T> call(Supplier<CompletionStage<T>> request, T noAnswer) {
		if (this.frozen.getAsBoolean()) {
			return completeAfterFreeze(noAnswer);
		}
		CompletionStage<T> answer = request.get();
		return this.frozen.getAsBoolean() ? completeAfterFreeze(noAnswer) : answer;
	}

	private <T> CompletionStage<T> completeAfterFreeze(T noAnswer) {
		CompletableFuture<T> answer = new CompletableFuture<>();
		this.pendingCompletions.add(() -> answer.complete(noAnswer));
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
