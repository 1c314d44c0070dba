package io.bulrushrouter.coordination.order;

import java.util.concurrent.Executor;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.coordination.lease.LeaseTokenParser;
import io.bulrushrouter.kernel.TimeSource;
import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ObjectStore;

/**
 * Carries out {@link EngineReconciler} at an engine and the platform. All methods are
 * called from one thread, and the executor runs the answers on the same one.
 */
public final class EngineReconcilerDriver {

	private static final Logger logger = LoggerFactory.getLogger(EngineReconcilerDriver.class);

	private final EngineReconciler reconciler;

	private final EngineAdapter engine;

	private final ObjectStore store;

	private final ObjectKey lease;

	private final TimeSource time;

	private final Executor executor;

	private EngineReconcilerDriver(EngineReconciler orders, EngineAdapter engine, ObjectStore store, ObjectKey lease,
			TimeSource time, Executor thread) {
		this.reconciler = orders;
		this.engine = engine;
		this.store = store;
		this.lease = lease;
		this.time = time;
		this.executor = thread;
	}

	/**
	 * Returns a driver.
	 * @param reconciler the engine's orders
	 * @param engine the engine
	 * @param store the platform
	 * @param lease the lease whose holder gives the orders
	 * @param time the clock
	 * @param executor runs the answers on the caller's thread, such as a duty's ring; it
	 * must drop none, since a missing answer ends all further actions
	 * @return the driver
	 */
	public static EngineReconcilerDriver of(EngineReconciler reconciler, EngineAdapter engine, ObjectStore store,
			ObjectKey lease, TimeSource time, Executor executor) {
		return new EngineReconcilerDriver(reconciler, engine, store, lease, time, executor);
	}

	/**
	 * Takes an order.
	 * @param order the order
	 * @return what becomes of it
	 */
	public EngineReconciler.OrderStatus accept(EngineOrder order) {
		EngineReconciler.OrderStatus status = this.reconciler.accept(order);
		if (status == EngineReconciler.OrderStatus.STALE || status == EngineReconciler.OrderStatus.PENDING) {
			logger.info("order decision fence={} receipt={}", order.fence(), status);
		}
		return status;
	}

	/**
	 * Does what is due. Called every few hundred milliseconds.
	 */
	public void tick() {
		OrderAction action = this.reconciler.next(this.time.nanos());
		if (action instanceof OrderAction.ReadFencingToken) {
			this.store.read(this.lease)
				.thenAcceptAsync(
						(result) -> this.reconciler.tokenReadAnswered(LeaseTokenParser.parse(result), this.time.nanos())
							.ifPresent((status) -> logger.info("order decision receipt={}", status)),
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
