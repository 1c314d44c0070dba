package io.bulrushrouter.coordination.order;

import java.time.Duration;
import java.util.Optional;

import io.bulrushrouter.coordination.lease.FencingToken;
import io.bulrushrouter.coordination.lease.FencingTokenGuard;

/**
 * Brings one engine to the state that was ordered. It runs in the sidecar, does no I/O
 * and is driven from one thread.
 *
 * <p>
 * A new order is held until the highest fencing number has been read from the platform
 * after the order came, and is refused if that number is higher. Then the engine is
 * observed and commanded in turns, one command at a time, until it is as ordered, and
 * observed from time to time after that.
 *
 * <p>
 * An engine that does not check fencing numbers could obey a command that was lost and
 * comes late, after one with a higher number. For such an engine no command is sent while
 * an earlier one, also of an earlier run of the sidecar, may still take effect.
 */
public final class EngineReconciler {

	private final FenceChecking checking;

	private final OrderTimings timings;

	private final FencingTokenGuard guard = FencingTokenGuard.of();

	private Optional<EngineOrder> pendingOrder = Optional.empty();

	private Optional<EngineOrder> orderAtRead = Optional.empty();

	private Optional<EngineOrder> current = Optional.empty();

	private Optional<EngineState> observed = Optional.empty();

	private boolean requestPending;

	private boolean tokenOutdated;

	private long nextObservationNanos;

	private long nextTokenReadNanos;

	private long nextCommandNanos;

	private EngineReconciler(FenceChecking checking, OrderTimings terms, long nowNanos) {
		this.checking = checking;
		this.timings = terms;
		this.nextObservationNanos = nowNanos;
		this.nextTokenReadNanos = nowNanos;
		this.nextCommandNanos = nowNanos + unknownOutcomeDelayNanos();
	}

	/**
	 * Returns the orders of an engine whose sidecar has just started.
	 * @param checking whether the engine refuses old fencing numbers
	 * @param timings the times
	 * @param nowNanos the time
	 * @return the orders
	 */
	public static EngineReconciler of(FenceChecking checking, OrderTimings timings, long nowNanos) {
		return new EngineReconciler(checking, timings, nowNanos);
	}

	// How long a command without an answer keeps others back.
	private long unknownOutcomeDelayNanos() {
		return (this.checking == FenceChecking.CHECKS) ? 0 : this.timings.commandTimeout().toNanos();
	}

	/**
	 * Takes an order, which the holder repeats for as long as it stands.
	 * @param order the order
	 * @return what becomes of it
	 */
	public OrderStatus accept(EngineOrder order) {
		if (!this.guard.admit(order.fence())) {
			return OrderStatus.STALE;
		}
		if (this.current.filter(order::equals).isPresent() && !this.tokenOutdated) {
			return isApplied() ? OrderStatus.APPLIED : OrderStatus.APPLYING;
		}
		this.pendingOrder = Optional.of(order);
		return OrderStatus.PENDING;
	}

	/**
	 * Tells whether the engine was as ordered when last observed.
	 * @return whether it was; false if there is no order
	 */
	public boolean isApplied() {
		return this.current.isPresent() && this.current.map(EngineOrder::desired).equals(this.observed);
	}

	/**
	 * Returns what to do now. Each action is answered by {@link #tokenReadAnswered},
	 * {@link #observed} or {@link #commandAnswered}; until then there is no other.
	 * @param nowNanos the time
	 * @return the action
	 */
	public OrderAction next(long nowNanos) {
		OrderAction action = this.requestPending ? new OrderAction.Idle() : chooseAction(nowNanos);
		this.requestPending |= !(action instanceof OrderAction.Idle);
		return action;
	}

	private OrderAction chooseAction(long nowNanos) {
		if ((this.pendingOrder.isPresent() || this.tokenOutdated) && nowNanos - this.nextTokenReadNanos >= 0) {
			this.orderAtRead = this.pendingOrder;
			return new OrderAction.ReadFencingToken();
		}
		Optional<EngineOrder> order = this.current.filter(this::isCurrent);
		if (order.isEmpty()) {
			return new OrderAction.Idle();
		}
		if (nowNanos - this.nextObservationNanos >= 0) {
			return new OrderAction.Observe();
		}
		if (this.observed.isEmpty() || nowNanos - this.nextCommandNanos < 0) {
			return new OrderAction.Idle();
		}
		return nextCommand(this.observed.get(), order.get());
	}

	private static OrderAction nextCommand(EngineState observed, EngineOrder order) {
		EngineState desired = order.desired();
		var surplus = observed.models().stream().filter((model) -> !desired.models().contains(model)).findFirst();
		if (surplus.isPresent()) {
			return new OrderAction.Unload(surplus.get(), order.fence());
		}
		if (observed.role() != desired.role()) {
			return new OrderAction.ChangeRole(desired.role(), order.fence());
		}
		return desired.models()
			.stream()
			.filter((model) -> !observed.models().contains(model))
			.findFirst()
			.<OrderAction>map((model) -> new OrderAction.Load(model, order.fence()))
			.orElseGet(OrderAction.Idle::new);
	}

	/**
	 * Takes the answer to {@link OrderAction.ReadFencingToken}.
	 * @param highest the highest number at the platform; empty if it did not answer
	 * @param nowNanos the time
	 * @return what became of the held order; empty if there is none
	 */
	public Optional<OrderStatus> tokenReadAnswered(Optional<FencingToken> highest, long nowNanos) {
		this.requestPending = false;
		if (highest.isEmpty()) {
			this.nextTokenReadNanos = after(this.timings.retryDelay(), nowNanos);
			return this.pendingOrder.map((order) -> OrderStatus.PENDING);
		}
		this.guard.admit(highest.get());
		this.tokenOutdated = false;
		this.current = this.current.filter(this::isCurrent);
		// The read vouches only for the order that was there before it began.
		Optional<EngineOrder> order = this.orderAtRead
			.filter((read) -> this.pendingOrder.filter(read::equals).isPresent());
		order.ifPresent((read) -> this.pendingOrder = Optional.empty());
		order.filter(this::isCurrent).ifPresent((read) -> activate(read, nowNanos));
		return order.map((read) -> isCurrent(read) ? OrderStatus.APPLYING : OrderStatus.STALE);
	}

	private void activate(EngineOrder order, long nowNanos) {
		this.current = Optional.of(order);
		this.observed = Optional.empty();
		this.nextObservationNanos = nowNanos;
	}

	private boolean isCurrent(EngineOrder order) {
		return !order.fence().isOlderThan(this.guard.highest());
	}

	/**
	 * Takes the answer to {@link OrderAction.Observe}.
	 * @param state the engine's state; empty if it did not answer
	 * @param nowNanos the time
	 */
	public void observed(Optional<EngineState> state, long nowNanos) {
		this.requestPending = false;
		this.observed = state;
		this.nextObservationNanos = after(isApplied() ? this.timings.observationInterval() : this.timings.retryDelay(),
				nowNanos);
	}

	/**
	 * Takes the answer to a command.
	 * @param outcome the answer
	 * @param nowNanos the time
	 */
	public void commandAnswered(CommandOutcome outcome, long nowNanos) {
		this.requestPending = false;
		this.observed = Optional.empty();
		this.nextObservationNanos = nowNanos;
		this.nextCommandNanos = nowNanos + delayNanos(outcome);
		if (outcome == CommandOutcome.STALE) {
			this.tokenOutdated = true;
			this.nextTokenReadNanos = nowNanos;
			this.current = Optional.empty();
		}
	}

	private long delayNanos(CommandOutcome outcome) {
		long retry = this.timings.retryDelay().toNanos();
		return switch (outcome) {
			case DONE, STALE -> 0;
			case REFUSED -> retry;
			case UNKNOWN -> Math.max(unknownOutcomeDelayNanos(), retry);
		};
	}

	private static long after(Duration delay, long nowNanos) {
		return nowNanos + delay.toNanos();
	}

	/**
	 * What becomes of an order.
	 */
	public enum OrderStatus {

		/** Refused: the holder's fencing number is old. */
		STALE,

		/** Held until the platform has named the highest fencing number. */
		PENDING,

		/** In force, and the engine is not yet as ordered. */
		APPLYING,

		/** In force, and the engine was as ordered when last observed. */
		APPLIED

	}

}
