package io.bulrushrouter.evacuation.reconcile;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

import io.bulrushrouter.kernel.store.ListResult;
import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ObjectStore;
import io.bulrushrouter.kernel.store.ReadResult;
import io.bulrushrouter.kernel.store.Write;
import io.bulrushrouter.kernel.store.WriteResult;
import io.bulrushrouter.standin.FleetStandin;

/**
 * Carries out all calls of one holder and injects the fault of a cell at one of them.
 */
final class FaultyCalls implements ObjectStore, UpstreamPort {

	private final FaultRun run;

	private final FaultCell cell;

	private int callNumber;

	FaultyCalls(FaultRun run, FaultCell cell) {
		this.run = run;
		this.cell = cell;
	}

	private <T> T call(Supplier<T> effect, T lost) {
		this.callNumber++;
		this.run.countCall();
		this.run.advanceRequests();
		Fault fault = (this.callNumber == this.cell.call()) ? this.cell.fault() : Fault.NONE;
		if (fault == Fault.STORE_DOWN) {
			this.run.startStoreOutage();
		}
		else if (fault.pauses()) {
			this.run.runOtherHolder();
		}
		else if (fault == Fault.REQUEST_LOST) {
			return lost;
		}
		T result = effect.get();
		this.run.checkInvariants();
		if (fault == Fault.KILLED) {
			throw new FaultRun.Killed();
		}
		return (fault == Fault.ANSWER_LOST) ? lost : result;
	}

	@Override
	public CompletionStage<ReadResult> read(ObjectKey key) {
		return call(() -> this.run.objects().read(key),
				CompletableFuture.completedFuture(new ReadResult.Unavailable("lost")));
	}

	@Override
	public CompletionStage<WriteResult> write(Write write) {
		return call(() -> this.run.objects().write(write),
				CompletableFuture.completedFuture(new WriteResult.Unknown("lost")));
	}

	@Override
	public CompletionStage<ReadResult> watch(ObjectKey key, long afterVersion, Duration wait) {
		return call(() -> this.run.objects().watch(key, afterVersion, wait),
				CompletableFuture.completedFuture(new ReadResult.Unavailable("lost")));
	}

	@Override
	public CompletionStage<ListResult> list(String prefix) {
		return this.run.objects().list(prefix);
	}

	@Override
	public List<ObservedUpstream> observe() {
		return call(() -> this.run.fleet()
			.statuses()
			.stream()
			.map((status) -> new ObservedUpstream(status.id(), Phase.valueOf(status.state().name()), status.inFlight(),
					status.refusal()))
			.toList(), List.of());
	}

	@Override
	public StepResult carryOut(Step.UpstreamOrder order) {
		return call(() -> answer(order), new StepResult.Unknown("lost"));
	}

	private StepResult answer(Step.UpstreamOrder order) {
		FleetStandin.State state = FleetStandin.State.valueOf(order.targetPhase().name());
		return switch (this.run.fleet().order(order.upstream(), state, order.fence())) {
			case DONE -> new StepResult.Done();
			case REFUSED -> new StepResult.Refused("refused");
			case STALE -> new StepResult.Fenced();
			case UNDECIDED -> new StepResult.Unknown("the store does not answer");
		};
	}

}
