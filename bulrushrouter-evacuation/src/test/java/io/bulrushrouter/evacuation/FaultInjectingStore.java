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
 * A store that runs a hook before each read and write, and loses the request or the
 * response of the calls with the given numbers.
 */
final class FaultInjectingStore implements ObjectStore {

	private final ObjectStore objects;

	private final IntConsumer beforeCall;

	private final int lostRequest;

	private final int lostResponse;

	private int calls;

	FaultInjectingStore(ObjectStore objects, IntConsumer beforeCall, int lostRequest, int lostResponse) {
		this.objects = objects;
		this.beforeCall = beforeCall;
		this.lostRequest = lostRequest;
		this.lostResponse = lostResponse;
	}

	int calls() {
		return this.calls;
	}

	@Override
	public CompletionStage<ReadResult> read(ObjectKey key) {
		this.beforeCall.accept(++this.calls);
		boolean lost = this.calls == this.lostRequest || this.calls == this.lostResponse;
		return lost ? CompletableFuture.completedFuture(new ReadResult.Unavailable("lost")) : this.objects.read(key);
	}

	@Override
	public CompletionStage<WriteResult> write(Write write) {
		this.beforeCall.accept(++this.calls);
		if (this.calls == this.lostRequest) {
			return CompletableFuture.completedFuture(new WriteResult.Unknown("request lost"));
		}
		CompletionStage<WriteResult> result = this.objects.write(write);
		return (this.calls == this.lostResponse)
				? CompletableFuture.completedFuture(new WriteResult.Unknown("response lost")) : result;
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
