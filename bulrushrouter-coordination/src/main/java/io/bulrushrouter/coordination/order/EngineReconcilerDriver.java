package io.bulrushrouter.coordination.order;

import java.util.concurrent.Executor;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.coordination.lease.LeaseTokenParser;
import io.bulrushrouter.kernel.TimeSource;
import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ObjectStore;

/**
 * Executes the actions of an {@link EngineReconciler} against the engine and the
 * platform. All methods must be called from one thread, and the executor must run the
 * result handlers on the same thread.
 */
public final class EngineReconcilerDriver {

	private static final Logger logger = LoggerFactory.getLogger(EngineReconcilerDriver.class);

	private final EngineReconciler reconciler;

	private final EngineAdapter engine;

	private final ObjectStore store;

	private final ObjectKey lease;

	private final TimeSource time;

	private final Executor executor;

	private EngineReconcilerDriver(EngineReconciler reconciler, EngineAdapter engine, ObjectStore store,
			ObjectKey lease, TimeSource time, Executor executor) {
		this.reconciler = reconciler;
		this.engine = engine;
		this.store = store;
		this.lease = lease;
		this.time = time;
		this.executor = executor;
	}

	/**
	 * Creates a driver.
	 * @param reconciler the reconciler of the engine
	 * @param engine the engine
	 * @param store the platform's object store
	 * @param lease the key of the lease whose holder issues the orders
	 * @param time the clock
	 * @param executor runs the result handlers on the caller's thread, for example a
	 * duty's message queue; it must not drop any, since the reconciler takes no further
	 * action until the pending result arrives
	 * @return the driver
	 */
	public static EngineReconcilerDriver of(EngineReconciler reconciler, EngineAdapter engine, ObjectStore store,
			ObjectKey lease, TimeSource time, Executor executor) {
		return new EngineReconcilerDriver(reconciler, engine, store, lease, time, executor);
	}

	/**
	 * Accepts an order.
	 * @param order the order
	 * @return the status of the order
	 */
	public EngineReconciler.OrderStatus accept(EngineOrder order) {
		EngineReconciler.OrderStatus status = this.reconciler.accept(order);
		if (status == EngineReconciler.OrderStatus.STALE || status == EngineReconciler.OrderStatus.PENDING) {
			logger.info("order decision fence={} status={}", order.fence(), status);
		}
		return status;
	}

	/**
	 * Executes the next action, if one is due. Call it every few hundred milliseconds.
	 */
	public void tick() {
		OrderAction action = this.reconciler.next(this.time.nanos());
		if (action instanceof OrderAction.ReadFencingToken) {
			this.store.read(this.lease)
				.thenAcceptAsync(
						(result) -> this.reconciler.tokenReadAnswered(LeaseTokenParser.parse(result), this.time.nanos())
							.ifPresent((status) -> logger.info("order decision status={}", status)),
						this.executor);
		}
		else if (action instanceof OrderAction.Observe) {
			this.engine.observe()
				.thenAcceptAsync((state) -> this.reconciler.observed(state, this.time.nanos()), this.executor);
		}
		else if (!(action instanceof OrderAction.Idle)) {
			this.engine.execute(action).thenAcceptAsync((outcome) -> {
				logger.info("order command={} outcome={}", action, outcome);
				this.reconciler.commandAnswered(outcome, this.time.nanos());
			}, this.executor);
		}
	}

}
