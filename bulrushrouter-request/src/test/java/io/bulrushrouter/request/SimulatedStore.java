package io.bulrushrouter.request;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.bulrushrouter.kernel.store.ListResult;
import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ObjectStore;
import io.bulrushrouter.kernel.store.ReadResult;
import io.bulrushrouter.kernel.store.Write;
import io.bulrushrouter.kernel.store.WriteResult;
import io.bulrushrouter.standin.MemoryObjectStore;

/**
 * The platform's object API with injected delays and faults.
 */
final class SimulatedStore implements ObjectStore {

	private static final long SLOW_MILLIS = 250;

	private static final long TIMEOUT_MILLIS = 40;

	private final SimulatedSystem system;

	private final MemoryObjectStore objects = new MemoryObjectStore();

	private long slowUntilNanos;

	private FaultCell.Fault nextWriteFault = FaultCell.Fault.STORE_DOWN;

	SimulatedStore(SimulatedSystem system) {
		this.system = system;
	}

	void inject(FaultCell.Fault fault) {
		if (fault == FaultCell.Fault.STORE_DOWN) {
			this.objects.down(true);
			this.system.clock.after(200, () -> this.objects.down(false));
		}
		else if (fault == FaultCell.Fault.STORE_SLOW) {
			this.slowUntilNanos = this.system.clock.nowNanos() + 300 * SimulatedClock.MILLIS;
		}
		else {
			this.nextWriteFault = fault;
		}
	}

	@Override
	public CompletionStage<ReadResult> read(ObjectKey key) {
		CompletableFuture<ReadResult> answer = new CompletableFuture<>();
		long delay = delayMillis();
		this.system.clock.after(delay, () -> {
			ReadResult result = this.objects.read(key).toCompletableFuture().join();
			this.system.clock.after(delay, () -> answer.complete(result));
		});
		return answer;
	}

	@Override
	public CompletionStage<WriteResult> write(Write write) {
		CompletableFuture<WriteResult> answer = new CompletableFuture<>();
		this.system.reachClaim(FaultCell.Step.CLAIM_ASKED);
		FaultCell.Fault fault = this.nextWriteFault;
		this.nextWriteFault = FaultCell.Fault.STORE_DOWN;
		WriteResult unknown = new WriteResult.Unknown("time out");
		if (fault == FaultCell.Fault.STORE_REQUEST_LOST || fault == FaultCell.Fault.STORE_WRITE_LATE) {
			if (fault == FaultCell.Fault.STORE_WRITE_LATE) {
				this.system.clock.after(3 * TIMEOUT_MILLIS, () -> this.objects.write(write));
			}
			this.system.clock.after(TIMEOUT_MILLIS, () -> answer.complete(unknown));
			return answer;
		}
		long delay = delayMillis();
		this.system.clock.after(delay, () -> {
			WriteResult result = this.objects.write(write).toCompletableFuture().join();
			this.system.reachClaim(FaultCell.Step.CLAIM_WRITTEN);
			boolean lost = fault == FaultCell.Fault.STORE_ANSWER_LOST;
			this.system.clock.after(lost ? TIMEOUT_MILLIS : delay, () -> answer.complete(lost ? unknown : result));
		});
		return answer;
	}

	private long delayMillis() {
		return (this.system.clock.nowNanos() < this.slowUntilNanos) ? SLOW_MILLIS / 2 : 2;
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
