package io.bulrushrouter.evacuation;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.IntConsumer;

import io.bulrushrouter.kernel.store.ListResult;
import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ObjectStore;
import io.bulrushrouter.kernel.store.ReadResult;
import io.bulrushrouter.kernel.store.Write;
import io.bulrushrouter.kernel.store.WriteResult;

/**
 * A store that calls a hook before each call, and loses one call on its way or its answer
 * on the way back.
 */
final class FaultInjectingStore implements ObjectStore {

	private final ObjectStore objects;

	private final IntConsumer beforeCall;

	private final int lostRequest;

	private final int lostAnswer;

	private int calls;

	FaultInjectingStore(ObjectStore objects, IntConsumer before, int lostRequest, int lostAnswer) {
		this.objects = objects;
		this.beforeCall = before;
		this.lostRequest = lostRequest;
		this.lostAnswer = lostAnswer;
	}

	int calls() {
		return this.calls;
	}

	@Override
	public CompletionStage<ReadResult> read(ObjectKey key) {
		this.beforeCall.accept(++this.calls);
		boolean lost = this.calls == this.lostRequest || this.calls == this.lostAnswer;
		return lost ? CompletableFuture.completedFuture(new ReadResult.Unavailable("lost")) : this.objects.read(key);
	}

	@Override
	public CompletionStage<WriteResult> write(Write write) {
		this.beforeCall.accept(++this.calls);
		if (this.calls == this.lostRequest) {
			return CompletableFuture.completedFuture(new WriteResult.Unknown("request lost"));
		}
		CompletionStage<WriteResult> result = this.objects.write(write);
		return (this.calls == this.lostAnswer)
				? CompletableFuture.completedFuture(new WriteResult.Unknown("answer lost")) : result;
	}

	@Override
	public CompletionStage<ReadResult> watch(ObjectKey key, long afterVersion, Duration wait) {
		return this.objects.watch(key, afterVersion, wait);
	}

	@Override
	public CompletionStage<ListResult> list(String prefix) {
		return this.objects.list(prefix);
	}

}
