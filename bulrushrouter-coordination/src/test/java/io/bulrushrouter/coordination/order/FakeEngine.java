package io.bulrushrouter.coordination.order;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.bulrushrouter.coordination.Fault;
import io.bulrushrouter.coordination.lease.FencingToken;
import io.bulrushrouter.kernel.ModelId;

/**
 * A simulated engine with a fault injected at one call.
 */
final class FakeEngine implements EngineAdapter {

	static final EngineState EMPTY = new EngineState(new TreeSet<>(), EngineRole.GENERAL);

	private final FenceChecking checking;

	private final Fault fault;

	private final int faultyCall;

	private final List<Long> executedTokens = new ArrayList<>();

	private EngineState state = EMPTY;

	private FencingToken highest = FencingToken.NONE;

	private Optional<Runnable> delayedCommand = Optional.empty();

	private boolean sidecarKilled;

	private int calls;

	private int changes;

	FakeEngine(FenceChecking checking, Fault fault, int faultyCall) {
		this.checking = checking;
		this.fault = fault;
		this.faultyCall = faultyCall;
	}

	@Override
	public CompletionStage<Optional<EngineState>> observe() {
		this.calls++;
		if (this.calls == this.faultyCall && (this.fault == Fault.REQUEST_LOST || this.fault == Fault.ANSWER_LOST)) {
			return CompletableFuture.completedFuture(Optional.empty());
		}
		return this.sidecarKilled ? new CompletableFuture<>()
				: CompletableFuture.completedFuture(Optional.of(this.state));
	}

	@Override
	public CompletionStage<CommandOutcome> execute(OrderAction command) {
		this.calls++;
		if (this.calls != this.faultyCall) {
			return CompletableFuture.completedFuture(apply(command));
		}
		return switch (this.fault) {
			case REQUEST_LOST -> CompletableFuture.completedFuture(CommandOutcome.UNKNOWN);
			case ANSWER_LOST -> {
				apply(command);
				yield CompletableFuture.completedFuture(CommandOutcome.UNKNOWN);
			}
			case PAUSED_BEFORE -> {
				this.delayedCommand = Optional.of(() -> apply(command));
				yield CompletableFuture.completedFuture(CommandOutcome.UNKNOWN);
			}
			case KILLED -> {
				this.delayedCommand = Optional.of(() -> apply(command));
				this.sidecarKilled = true;
				yield new CompletableFuture<>();
			}
			default -> CompletableFuture.completedFuture(apply(command));
		};
	}

	private CommandOutcome apply(OrderAction command) {
		FencingToken fence = fenceOf(command);
		if (this.checking == FenceChecking.CHECKS && fence.isOlderThan(this.highest)) {
			return CommandOutcome.STALE;
		}
		this.highest = (fence.isOlderThan(this.highest)) ? this.highest : fence;
		this.executedTokens.add(fence.value());
		TreeSet<ModelId> models = new TreeSet<>(this.state.models());
		EngineState before = this.state;
		if (command instanceof OrderAction.Load load) {
			models.add(load.model());
		}
		else if (command instanceof OrderAction.Unload unload) {
			models.remove(unload.model());
		}
		EngineRole role = (command instanceof OrderAction.ChangeRole change) ? change.role() : before.role();
		this.state = new EngineState(models, role);
		this.changes += this.state.equals(before) ? 0 : 1;
		return CommandOutcome.DONE;
	}

	private static FencingToken fenceOf(OrderAction command) {
		if (command instanceof OrderAction.Load load) {
			return load.fence();
		}
		return (command instanceof OrderAction.Unload unload) ? unload.fence()
				: ((OrderAction.ChangeRole) command).fence();
	}

	void restart() {
		this.state = EMPTY;
		this.highest = FencingToken.NONE;
	}

	void deliverDelayedCommand() {
		this.delayedCommand.ifPresent(Runnable::run);
		this.delayedCommand = Optional.empty();
	}

	boolean pollSidecarKilled() {
		boolean killed = this.sidecarKilled;
		this.sidecarKilled = false;
		return killed;
	}

	EngineState state() {
		return this.state;
	}

	List<Long> executedTokens() {
		return this.executedTokens;
	}

	int changes() {
		return this.changes;
	}

}
