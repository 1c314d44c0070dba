package io.bulrushrouter.coordination;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.Supplier;

import io.bulrushrouter.kernel.store.ListResult;
import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ObjectStore;
import io.bulrushrouter.kernel.store.ReadResult;
import io.bulrushrouter.kernel.store.Write;
import io.bulrushrouter.kernel.store.WriteResult;
import io.bulrushrouter.standin.MemoryObjectStore;

/**
 * The store as seen by one process, with a fault injected at one call.
 */
public final class FaultyStore implements ObjectStore {

	private final MemoryObjectStore store;

	private final Fault fault;

	private final int faultyCall;

	private int calls;

	private Runnable onResume = () -> {
	};

	private boolean paused;

	private boolean killed;

	/**
	 * Creates a store that injects a fault.
	 * @param store the store
	 * @param fault the fault
	 * @param faultyCall the call at which the fault occurs, counted from 1
	 */
	public FaultyStore(MemoryObjectStore store, Fault fault, int faultyCall) {
		this.store = store;
		this.fault = fault;
		this.faultyCall = faultyCall;
	}

	@Override
	public CompletionStage<ReadResult> read(ObjectKey key) {
		return call(() -> this.store.read(key), ReadResult.Unavailable::new);
	}

	@Override
	public CompletionStage<WriteResult> write(Write write) {
		return call(() -> this.store.write(write), WriteResult.Unknown::new);
	}

	@Override
	public CompletionStage<ReadResult> watch(ObjectKey key, long afterVersion, Duration wait) {
		return call(() -> this.store.watch(key, afterVersion, wait), ReadResult.Unavailable::new);
	}

	@Override
	public CompletionStage<ListResult> list(String prefix) {
		return call(() -> this.store.list(prefix), ListResult.Unavailable::new);
	}

	private <T> CompletionStage<T> call(Supplier<CompletionStage<T>> send, Function<String, T> lostResult) {
		if (this.killed) {
			return new CompletableFuture<>();
		}
		this.calls++;
		if (this.calls != this.faultyCall) {
			return send.get();
		}
		return switch (this.fault) {
			case NONE -> send.get();
			case STORE_DOWN -> {
				this.store.down(true);
				yield send.get();
			}
			case REQUEST_LOST -> CompletableFuture.completedFuture(lostResult.apply("request lost"));
			case ANSWER_LOST -> send.get().thenApply((result) -> lostResult.apply("answer lost"));
			case PAUSED_BEFORE -> pause(send);
			case PAUSED_AFTER -> {
				CompletionStage<T> answer = send.get();
				yield pause(() -> answer);
			}
			case KILLED -> {
				send.get();
				this.killed = true;
				yield new CompletableFuture<>();
			}
		};
	}

	private <T> CompletionStage<T> pause(Supplier<CompletionStage<T>> remainder) {
		CompletableFuture<T> answer = new CompletableFuture<>();
		this.paused = true;
		this.onResume = () -> remainder.get().thenAccept(answer::complete);
		return answer;
	}

	/**
	 * Ends the pause: the held call is sent, or its held response is delivered.
	 */
	public void resume() {
		this.paused = false;
		this.onResume.run();
		this.onResume = () -> {
		};
	}

	/**
	 * Returns whether the process is paused.
	 * @return {@code true} if it is paused
	 */
	public boolean isPaused() {
		return this.paused;
	}

	/**
	 * Returns whether the process was killed.
	 * @return {@code true} if it was killed
	 */
	public boolean isKilled() {
		return this.killed;
	}

	/**
	 * Returns whether the fault has been injected.
	 * @return {@code true} if the faulty call was reached
	 */
	public boolean isFaultInjected() {
		return this.fault != Fault.NONE && this.calls >= this.faultyCall;
	}

}
