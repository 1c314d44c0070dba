package io.bulrushrouter.coordination.order;

import java.time.Duration;
import java.util.Optional;

import io.bulrushrouter.coordination.lease.FenceGuard;
import io.bulrushrouter.coordination.lease.FencingNumber;

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
public final class EngineOrders {

	private final FenceChecking checking;

	private final OrderTerms terms;

	private final FenceGuard guard = FenceGuard.of();

	private Optional<EngineOrder> held = Optional.empty();

	private Optional<EngineOrder> reading = Optional.empty();

	private Optional<EngineOrder> current = Optional.empty();

	private Optional<EngineState> observed = Optional.empty();

	private boolean asking;

	private boolean fenceDoubted;

	private long observeAt;

	private long fenceAt;

	private long commandAt;

	private EngineOrders(FenceChecking checking, OrderTerms terms, long nowNanos) {
		this.checking = checking;
		this.terms = terms;
		this.observeAt = nowNanos;
		this.fenceAt = nowNanos;
		this.commandAt = nowNanos + doubtNanos();
	}

	/**
	 * Returns the orders of an engine whose sidecar has just started.
	 * @param checking whether the engine refuses old fencing numbers
	 * @param terms the times
	 * @param nowNanos the time
	 * @return the orders
	 */
	public static EngineOrders of(FenceChecking checking, OrderTerms terms, long nowNanos) {
		return new EngineOrders(checking, terms, nowNanos);
	}

	// How long a command without an answer keeps others back.
	private long doubtNanos() {
		return (this.checking == FenceChecking.CHECKS) ? 0 : this.terms.commandLimit().toNanos();
	}

	/**
	 * Takes an order, which the holder repeats for as long as it stands.
	 * @param order the order
	 * @return what becomes of it
	 */
	public Receipt take(EngineOrder order) {
		if (!this.guard.admit(order.fence())) {
			return Receipt.STALE;
		}
		if (this.current.filter(order::equals).isPresent() && !this.fenceDoubted) {
			return isReached() ? Receipt.REACHED : Receipt.PURSUED;
		}
		this.held = Optional.of(order);
		return Receipt.HELD;
	}

	/**
	 * Tells whether the engine was as ordered when last observed.
	 * @return whether it was; false if there is no order
	 */
	public boolean isReached() {
		return this.current.isPresent() && this.current.map(EngineOrder::wanted).equals(this.observed);
	}

	/**
	 * Returns what to do now. Each action is answered by {@link #fenceRead},
	 * {@link #observed} or {@link #answered}; until then there is no other.
	 * @param nowNanos the time
	 * @return the action
	 */
	public OrderAction next(long nowNanos) {
		OrderAction action = this.asking ? new OrderAction.Idle() : choose(nowNanos);
		this.asking |= !(action instanceof OrderAction.Idle);
		return action;
	}

	private OrderAction choose(long nowNanos) {
		if ((this.held.isPresent() || this.fenceDoubted) && nowNanos - this.fenceAt >= 0) {
			this.reading = this.held;
			return new OrderAction.ReadFence();
		}
		Optional<EngineOrder> order = this.current.filter(this::isCurrent);
		if (order.isEmpty()) {
			return new OrderAction.Idle();
		}
		if (nowNanos - this.observeAt >= 0) {
			return new OrderAction.Observe();
		}
		if (this.observed.isEmpty() || nowNanos - this.commandAt < 0) {
			return new OrderAction.Idle();
		}
		return step(this.observed.get(), order.get());
	}

	private static OrderAction step(EngineState seen, EngineOrder order) {
		EngineState wanted = order.wanted();
		var surplus = seen.models().stream().filter((model) -> !wanted.models().contains(model)).findFirst();
		if (surplus.isPresent()) {
			return new OrderAction.Unload(surplus.get(), order.fence());
		}
		if (seen.role() != wanted.role()) {
			return new OrderAction.ChangeRole(wanted.role(), order.fence());
		}
		return wanted.models()
			.stream()
			.filter((model) -> !seen.models().contains(model))
			.findFirst()
			.<OrderAction>map((model) -> new OrderAction.Load(model, order.fence()))
			.orElseGet(OrderAction.Idle::new);
	}

	/**
	 * Takes the answer to {@link OrderAction.ReadFence}.
	 * @param highest the highest number at the platform; empty if it did not answer
	 * @param nowNanos the time
	 * @return what became of the held order; empty if there is none
	 */
	public Optional<Receipt> fenceRead(Optional<FencingNumber> highest, long nowNanos) {
		this.asking = false;
		if (highest.isEmpty()) {
			this.fenceAt = after(this.terms.retry(), nowNanos);
			return this.held.map((order) -> Receipt.HELD);
		}
		this.guard.admit(highest.get());
		this.fenceDoubted = false;
		this.current = this.current.filter(this::isCurrent);
		// The read vouches only for the order that was there before it began.
		Optional<EngineOrder> order = this.reading.filter((read) -> this.held.filter(read::equals).isPresent());
		order.ifPresent((read) -> this.held = Optional.empty());
		order.filter(this::isCurrent).ifPresent((read) -> pursue(read, nowNanos));
		return order.map((read) -> isCurrent(read) ? Receipt.PURSUED : Receipt.STALE);
	}

	private void pursue(EngineOrder order, long nowNanos) {
		this.current = Optional.of(order);
		this.observed = Optional.empty();
		this.observeAt = nowNanos;
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
		this.asking = false;
		this.observed = state;
		this.observeAt = after(isReached() ? this.terms.observation() : this.terms.retry(), nowNanos);
	}

	/**
	 * Takes the answer to a command.
	 * @param outcome the answer
	 * @param nowNanos the time
	 */
	public void answered(CommandOutcome outcome, long nowNanos) {
		this.asking = false;
		this.observed = Optional.empty();
		this.observeAt = nowNanos;
		this.commandAt = nowNanos + pauseNanos(outcome);
		if (outcome == CommandOutcome.STALE) {
			this.fenceDoubted = true;
			this.fenceAt = nowNanos;
			this.current = Optional.empty();
		}
	}

	private long pauseNanos(CommandOutcome outcome) {
		long retry = this.terms.retry().toNanos();
		return switch (outcome) {
			case DONE, STALE -> 0;
			case REFUSED -> retry;
			case UNKNOWN -> Math.max(doubtNanos(), retry);
		};
	}

	private static long after(Duration pause, long nowNanos) {
		return nowNanos + pause.toNanos();
	}

	/**
	 * What becomes of an order.
	 */
	public enum Receipt {

		/** Refused: the holder's fencing number is old. */
		STALE,

		/** Held until the platform has named the highest fencing number. */
		HELD,

		/** In force, and the engine is not yet as ordered. */
		PURSUED,

		/** In force, and the engine was as ordered when last observed. */
		REACHED

	}

}
