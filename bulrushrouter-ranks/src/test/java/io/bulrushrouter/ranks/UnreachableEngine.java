package io.bulrushrouter.ranks;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.bulrushrouter.experts.live.OrderResult;
import io.bulrushrouter.experts.live.RankOrder;
import io.bulrushrouter.experts.live.RankStatus;

/**
 * An engine that other instances cannot reach for some time: nothing takes effect and
 * every call ends unanswered.
 *
 * @param engine the engine
 * @param unreachable returns whether it cannot be reached
 */
record UnreachableEngine(RankEngine engine, BooleanSupplier unreachable) implements RankEngine {

	private <T> CompletionStage<T> call(Supplier<CompletionStage<T>> request, T noAnswer) {
		return this.unreachable.getAsBoolean() ? CompletableFuture.completedFuture(noAnswer) : request.get();
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
