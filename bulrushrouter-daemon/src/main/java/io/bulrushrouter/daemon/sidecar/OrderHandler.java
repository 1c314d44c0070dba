package io.bulrushrouter.daemon.sidecar;

import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

import io.bulrushrouter.coordination.lease.FencingToken;
import io.bulrushrouter.coordination.lease.FencingTokenGuard;
import io.bulrushrouter.coordination.lease.LeaseTokenParser;
import io.bulrushrouter.daemon.evacuation.EvacuationDuty;
import io.bulrushrouter.daemon.node.ControlMessages.ObserveUpstream;
import io.bulrushrouter.daemon.node.ControlMessages.OrderUpstream;
import io.bulrushrouter.daemon.node.ControlMessages.UpstreamObserved;
import io.bulrushrouter.daemon.node.ControlMessages.UpstreamOrdered;
import io.bulrushrouter.daemon.node.DecisionLog;
import io.bulrushrouter.evacuation.reconcile.Phase;
import io.bulrushrouter.kernel.store.ObjectStore;

/**
 * Carries out the orders of evacuations. Before each order it reads the highest fencing
 * token from the platform's store, so that a former lease holder is refused even after
 * this process has restarted. It never unloads the engine while a request runs. Accessed
 * by the sidecar's duty only.
 */
final class OrderHandler {

	private final ObjectStore store;

	private final Optional<EngineOrderClient> engine;

	private final Executor duty;

	private final FencingTokenGuard guard = FencingTokenGuard.of();

	private Phase phase = Phase.RUNNING;

	private String refusal = "";

	/**
	 * Creates a handler.
	 * @param store the platform's store
	 * @param engine sends orders to the engine; empty for a plain service
	 * @param duty runs actions on the sidecar's duty
	 */
	OrderHandler(ObjectStore store, Optional<EngineOrderClient> engine, Executor duty) {
		this.store = store;
		this.engine = engine;
		this.duty = duty;
	}

	/**
	 * Returns the state of the upstream.
	 * @param question the query
	 * @param inFlight the number of requests in flight
	 * @return the answer to the query
	 */
	UpstreamObserved observe(ObserveUpstream question, int inFlight) {
		return new UpstreamObserved(question.question(), this.phase.name(), inFlight, this.refusal);
	}

	/**
	 * Carries out an order, unless its fencing token is outdated.
	 * @param order the order
	 * @param sidecar the sidecar to drain
	 * @param answer receives the answer, on the sidecar's duty
	 */
	void handle(OrderUpstream order, Drainable sidecar, Consumer<UpstreamOrdered> answer) {
		this.store.read(EvacuationDuty.LEASE)
			.thenAcceptAsync((result) -> decide(order, LeaseTokenParser.parse(result), sidecar,
					(outcome) -> reply(order, outcome, answer)), this.duty);
	}

	private void decide(OrderUpstream order, Optional<FencingToken> highest, Drainable sidecar,
			Consumer<Result> settled) {
		if (highest.isEmpty()) {
			settled.accept(new Result("unknown", "the highest fencing token could not be read"));
			return;
		}
		this.guard.admit(highest.get());
		if (!this.guard.admit(new FencingToken(order.fence()))) {
			settled.accept(new Result("fenced", "the highest fencing token is " + this.guard.highest()));
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
			default -> settled.accept(new Result("refused", "unknown order: " + order.order()));
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
			settled.accept(new Result("unknown", "the engine has not unloaded its models"));
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
	 * The part of the sidecar that an order can drain.
	 */
	interface Drainable {

		/** Stops the admission of new requests. */
		void drain();

		/**
		 * Returns whether admission has stopped and all requests have completed.
		 * @return whether the sidecar is drained
		 */
		boolean isDrained();

	}

	/**
	 * The result of an order.
	 *
	 * @param name {@code done}, {@code refused}, {@code fenced} or {@code unknown}
	 * @param detail an explanation for operators
	 */
	record Result(String name, String detail) {

		/** The result of an order that was carried out. */
		static final Result DONE = new Result("done", "");

	}

}
