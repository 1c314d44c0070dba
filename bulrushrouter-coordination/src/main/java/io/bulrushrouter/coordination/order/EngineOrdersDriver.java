package io.bulrushrouter.coordination.order;

import java.util.concurrent.Executor;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.coordination.lease.LeaseFence;
import io.bulrushrouter.kernel.TimeSource;
import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ObjectStore;

/**
 * Carries out {@link EngineOrders} at an engine and the platform. All methods are called
 * from one thread, and the executor runs the answers on the same one.
 */
public final class EngineOrdersDriver {

	private static final Logger logger = LoggerFactory.getLogger(EngineOrdersDriver.class);

	private final EngineOrders orders;

	private final EngineAdapter engine;

	private final ObjectStore store;

	private final ObjectKey lease;

	private final TimeSource time;

	private final Executor thread;

	private EngineOrdersDriver(EngineOrders orders, EngineAdapter engine, ObjectStore store, ObjectKey lease,
			TimeSource time, Executor thread) {
		this.orders = orders;
		this.engine = engine;
		this.store = store;
		this.lease = lease;
		this.time = time;
		this.thread = thread;
	}

	/**
	 * Returns a driver.
	 * @param orders the engine's orders
	 * @param engine the engine
	 * @param store the platform
	 * @param lease the lease whose holder gives the orders
	 * @param time the clock
	 * @param thread runs the answers on the caller's thread, such as a duty's ring; it
	 * must drop none, since a missing answer ends all further actions
	 * @return the driver
	 */
	public static EngineOrdersDriver of(EngineOrders orders, EngineAdapter engine, ObjectStore store, ObjectKey lease,
			TimeSource time, Executor thread) {
		return new EngineOrdersDriver(orders, engine, store, lease, time, thread);
	}

	/**
	 * Takes an order.
	 * @param order the order
	 * @return what becomes of it
	 */
	public EngineOrders.Receipt take(EngineOrder order) {
		EngineOrders.Receipt receipt = this.orders.take(order);
		if (receipt == EngineOrders.Receipt.STALE || receipt == EngineOrders.Receipt.HELD) {
			logger.info("order decision fence={} receipt={}", order.fence(), receipt);
		}
		return receipt;
	}

	/**
	 * Does what is due. Called every few hundred milliseconds.
	 */
	public void tick() {
		OrderAction action = this.orders.next(this.time.nanos());
		if (action instanceof OrderAction.ReadFence) {
			this.store.read(this.lease)
				.thenAcceptAsync((result) -> this.orders.fenceRead(LeaseFence.of(result), this.time.nanos())
					.ifPresent((receipt) -> logger.info("order decision receipt={}", receipt)), this.thread);
		}
		else if (action instanceof OrderAction.Observe) {
			this.engine.observe()
				.thenAcceptAsync((state) -> this.orders.observed(state, this.time.nanos()), this.thread);
		}
		else if (!(action instanceof OrderAction.Idle)) {
			this.engine.carryOut(action).thenAcceptAsync((outcome) -> {
				logger.info("order command={} outcome={}", action, outcome);
				this.orders.answered(outcome, this.time.nanos());
			}, this.thread);
		}
	}

}
