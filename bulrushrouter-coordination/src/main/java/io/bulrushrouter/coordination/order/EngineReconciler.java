package io.bulrushrouter.coordination.order;

import java.time.Duration;
import java.util.Optional;

import io.bulrushrouter.coordination.lease.FencingToken;
import io.bulrushrouter.coordination.lease.FencingTokenGuard;

/**
 * Reconciles one engine with the state that was ordered. It runs in the sidecar, does no
 * I/O and must be called from one thread.
 *
 * <p>
 * A new order stays pending until the highest fencing token has been read from the
 * platform after the order arrived, and is refused if that token is higher. Then the
 * engine is observed and commanded alternately, one command at a time, until its state
 * matches the order. After that it is observed periodically.
 *
 * <p>
 * An engine that does not check fencing tokens could execute a delayed command after one
 * with a higher token. For such an engine no command is sent while an earlier command,
 * possibly sent before a restart of the sidecar, may still take effect.
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

	private EngineReconciler(FenceChecking checking, OrderTimings timings, long nowNanos) {
		this.checking = checking;
		this.timings = timings;
		this.nextObservationNanos = nowNanos;
		this.nextTokenReadNanos = nowNanos;
		this.nextCommandNanos = nowNanos + unknownOutcomeDelayNanos();
	}

	/**
	 * Creates the reconciler of an engine whose sidecar has just started.
	 * @param checking whether the engine refuses stale fencing tokens
	 * @param timings the intervals and timeouts
	 * @param nowNanos the current time, in nanoseconds
	 * @return the reconciler
	 */
	public static EngineReconciler of(FenceChecking checking, OrderTimings timings, long nowNanos) {
		return new EngineReconciler(checking, timings, nowNanos);
	}

	// Returns how long a command of unknown outcome blocks further commands.
	private long unknownOutcomeDelayNanos() {
		return (this.checking == FenceChecking.CHECKS) ? 0 : this.timings.commandTimeout().toNanos();
	}

	/**
	 * Accepts an order. The holder repeats an order for as long as it is valid.
	 * @param order the order
	 * @return the status of the order
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
	 * Returns whether the engine matched the order when last observed.
	 * @return {@code true} if it matched; {@code false} if there is no order
	 */
	public boolean isApplied() {
		return this.current.isPresent() && this.current.map(EngineOrder::desired).equals(this.observed);
	}

	/**
	 * Returns the next action. The result of each action must be reported through
	 * {@link #tokenReadAnswered}, {@link #observed} or {@link #commandAnswered}; until
	 * then the next action is {@link OrderAction.Idle}.
	 * @param nowNanos the current time, in nanoseconds
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
	 * Handles the result of {@link OrderAction.ReadFencingToken}.
	 * @param highest the highest token at the platform, or empty if it did not answer
	 * @param nowNanos the current time, in nanoseconds
	 * @return the status of the pending order, or empty if the read did not decide on one
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
		// The read validates only an order that arrived before the read began.
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
	 * Handles the result of {@link OrderAction.Observe}.
	 * @param state the engine's state, or empty if it did not answer
	 * @param nowNanos the current time, in nanoseconds
	 */
	public void observed(Optional<EngineState> state, long nowNanos) {
		this.requestPending = false;
		this.observed = state;
		this.nextObservationNanos = after(isApplied() ? this.timings.observationInterval() : this.timings.retryDelay(),
				nowNanos);
	}

	/**
	 * Handles the outcome of a command.
	 * @param outcome the outcome
	 * @param nowNanos the current time, in nanoseconds
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
	 * The status of an order.
	 */
	public enum OrderStatus {

		/** Refused because the holder's fencing token is stale. */
		STALE,

		/** Waiting for the highest fencing token to be read from the platform. */
		PENDING,

		/** In force; the engine does not match the order yet. */
		APPLYING,

		/** In force; the engine matched the order when last observed. */
		APPLIED

	}

}
