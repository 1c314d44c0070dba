package io.bulrushrouter.daemon.sidecar;

import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

import io.bulrushrouter.coordination.lease.FenceGuard;
import io.bulrushrouter.coordination.lease.FencingNumber;
import io.bulrushrouter.coordination.lease.LeaseFence;
import io.bulrushrouter.daemon.evacuation.EvacuationDuty;
import io.bulrushrouter.daemon.node.ControlMessages.ObserveUpstream;
import io.bulrushrouter.daemon.node.ControlMessages.OrderUpstream;
import io.bulrushrouter.daemon.node.ControlMessages.UpstreamObserved;
import io.bulrushrouter.daemon.node.ControlMessages.UpstreamOrdered;
import io.bulrushrouter.daemon.node.DecisionLog;
import io.bulrushrouter.evacuation.reconcile.Phase;
import io.bulrushrouter.kernel.store.ObjectStore;

/**
 * Takes the orders of evacuations. Before it obeys one it reads the highest fencing
 * number from the platform, so that a holder that has lost its lease is refused also
 * after this process has restarted; and it never lets the engine go while a request runs.
 * Owned by the sidecar's duty.
 */
final class OrderHandler {

	private final ObjectStore store;

	private final Optional<EngineOrderClient> engine;

	private final Executor duty;

	private final FenceGuard guard = FenceGuard.of();

	private Phase phase = Phase.RUNNING;

	private String refusal = "";

	/**
	 * Creates a desk.
	 * @param store the platform
	 * @param engine gives orders to the engine; empty for a plain service
	 * @param duty runs actions on the sidecar's duty
	 */
	OrderHandler(ObjectStore store, Optional<EngineOrderClient> engine, Executor duty) {
		this.store = store;
		this.engine = engine;
		this.duty = duty;
	}

	/**
	 * Answers what the upstream does.
	 * @param question the question
	 * @param inFlight requests begun and not answered
	 * @return the answer
	 */
	UpstreamObserved observe(ObserveUpstream question, int inFlight) {
		return new UpstreamObserved(question.question(), this.phase.name(), inFlight, this.refusal);
	}

	/**
	 * Takes an order.
	 * @param order the order
	 * @param sidecar what the desk may do to the sidecar's work
	 * @param answer takes the answer, on the sidecar's duty
	 */
	void handle(OrderUpstream order, Drainable sidecar, Consumer<UpstreamOrdered> answer) {
		this.store.read(EvacuationDuty.LEASE)
			.thenAcceptAsync((result) -> decide(order, LeaseFence.of(result), sidecar,
					(outcome) -> reply(order, outcome, answer)), this.duty);
	}

	private void decide(OrderUpstream order, Optional<FencingNumber> highest, Drainable sidecar,
			Consumer<Result> settled) {
		if (highest.isEmpty()) {
			settled.accept(new Result("unknown", "the highest fencing number could not be read"));
			return;
		}
		this.guard.admit(highest.get());
		if (!this.guard.admit(new FencingNumber(order.fence()))) {
			settled.accept(new Result("fenced", "the highest fencing number is " + this.guard.highest()));
			return;
		}
		execute(order, sidecar, settled);
	}

	private void execute(OrderUpstream order, Drainable sidecar, Consumer<Result> settled) {
		switch (order.order()) {
			case "set-leaving" -> {
				sidecar.drain();
				advanceTo(Phase.LEAVING);
				settled.accept(Result.DONE);
			}
			case "unload" -> unload(order, sidecar, settled);
			case "stop-upstream" -> stop(settled);
			default -> settled.accept(new Result("refused", "no such order: " + order.order()));
		}
	}

	private void unload(OrderUpstream order, Drainable sidecar, Consumer<Result> settled) {
		if (!sidecar.isDrained()) {
			settled.accept(new Result("unknown", "requests are running"));
			return;
		}
		if (this.engine.isEmpty() || this.phase.compareTo(Phase.UNLOADED) >= 0) {
			advanceTo(Phase.UNLOADED);
			settled.accept(Result.DONE);
			return;
		}
		this.engine.get().unload(order.fence(), (result) -> this.duty.execute(() -> {
			this.refusal = result.name().equals("refused") ? result.detail() : "";
			if (result.equals(Result.DONE)) {
				advanceTo(Phase.UNLOADED);
			}
			settled.accept(result);
		}));
	}

	private void stop(Consumer<Result> settled) {
		if (this.phase.compareTo(Phase.UNLOADED) < 0) {
			settled.accept(new Result("unknown", "the engine still holds its models"));
			return;
		}
		advanceTo(Phase.STOPPED);
		settled.accept(Result.DONE);
	}

	private void advanceTo(Phase next) {
		if (next.compareTo(this.phase) > 0) {
			this.phase = next;
		}
	}

	private void reply(OrderUpstream order, Result result, Consumer<UpstreamOrdered> answer) {
		DecisionLog.of("order")
			.with("order", order.order())
			.with("fence", order.fence())
			.with("result", result.name())
			.with("detail", result.detail())
			.with("phase", this.phase.text())
			.write();
		answer.accept(new UpstreamOrdered(order.question(), result.name(), result.detail()));
	}

	/**
	 * What the desk may do to the sidecar's work.
	 */
	interface Drainable {

		/** Closes the gate to new requests. */
		void drain();

		/**
		 * Tells whether the gate is closed and no request is left.
		 * @return whether it is so
		 */
		boolean isDrained();

	}

	/**
	 * What became of an order.
	 *
	 * @param name {@code done}, {@code refused}, {@code fenced} or {@code unknown}
	 * @param detail details for a person
	 */
	record Result(String name, String detail) {

		/** The order is carried out. */
		static final Result DONE = new Result("done", "");

	}

}
