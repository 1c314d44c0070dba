package io.bulrushrouter.ranks;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

import io.bulrushrouter.experts.live.GroupView;
import io.bulrushrouter.experts.live.OrderResult;
import io.bulrushrouter.experts.live.RankOrder;
import io.bulrushrouter.experts.live.RankStatus;

/**
 * A simulated group of engines in lock-step, with one hot expert. Every n-th order is
 * executed without an answer. Each status request runs one forward pass, unless the group
 * is held.
 */
final class FakeGroup {

	private static final int MIN_EXPERTS = 12;

	private final int experts;

	private final int unansweredInterval;

	private final List<Rank> ranks = new ArrayList<>();

	private final AtomicLong fences = new AtomicLong(3);

	private long step;

	private int orders;

	private int switches;

	private int statusFailures;

	private boolean heldOnce;

	private int frozenAtHold = -1;

	private volatile boolean instanceSuspended;

	private final Queue<Runnable> frozenCalls = new ConcurrentLinkedQueue<>();

	private int passesAfterHold;

	private Optional<String> violation = Optional.empty();

	private final CompletableFuture<Void> switchedTwice = new CompletableFuture<>();

	private final CompletableFuture<Void> firstHeld = new CompletableFuture<>();

	private final CompletableFuture<Void> resumed = new CompletableFuture<>();

	FakeGroup(int size, int unansweredInterval) {
		this.unansweredInterval = unansweredInterval;
		this.experts = experts(size);
		for (int rank = 0; rank < size; rank++) {
			this.ranks.add(new Rank(rank, size));
		}
	}

	/**
	 * Returns the number of experts of a group, of which each rank holds as many.
	 * @param size the number of ranks
	 * @return the number of experts
	 */
	static int experts(int size) {
		return Math.max(MIN_EXPERTS, 2 * size);
	}

	/**
	 * Returns the engine of a rank as its own sidecar accesses it.
	 * @param rank the rank
	 * @return the engine, which does not answer while the sidecar is frozen
	 */
	RankEngine localEngine(int rank) {
		return new FreezableEngine(this.ranks.get(rank), () -> isFrozen(rank), this.frozenCalls::add);
	}

	/**
	 * Returns the engine of a rank as sidecars on other instances access it.
	 * @param rank the rank
	 * @return the engine, which does not answer while its instance is suspended
	 */
	RankEngine remoteEngine(int rank) {
		return new FreezableEngine(this.ranks.get(rank), () -> this.instanceSuspended && isFrozen(rank), Runnable::run);
	}

	/**
	 * Suspends the instance of a rank, its sidecar and its engine's connections, as soon
	 * as the group is held.
	 * @param rank the rank
	 */
	synchronized void suspendInstanceAtHold(int rank) {
		this.instanceSuspended = true;
		freezeAtHold(rank);
	}

	/**
	 * Freezes the sidecar of a rank as soon as the group is held.
	 * @param rank the rank
	 */
	synchronized void freezeAtHold(int rank) {
		this.frozenAtHold = rank;
	}

	/**
	 * Ends the freeze; requests that were sent during it complete without an answer.
	 */
	void thaw() {
		freezeAtHold(-1);
		this.frozenCalls.forEach(Runnable::run);
	}

	private synchronized boolean isFrozen(int rank) {
		return this.heldOnce && this.frozenAtHold == rank;
	}

	CompletionStage<OptionalLong> nextFencingToken() {
		return CompletableFuture.completedFuture(OptionalLong.of(this.fences.incrementAndGet()));
	}

	/**
	 * Returns a future that completes after two switches.
	 * @return the future
	 */
	CompletableFuture<Void> switchedTwice() {
		return this.switchedTwice;
	}

	/**
	 * Returns a future that completes when the group is first held.
	 * @return the future
	 */
	CompletableFuture<Void> firstHeld() {
		return this.firstHeld;
	}

	synchronized boolean isHeld() {
		return this.ranks.get(GroupView.HOLD_RANK).holdStep >= 0;
	}

	/**
	 * Returns a future that completes when the group has run some forward passes after it
	 * was first held.
	 * @return the future
	 */
	CompletableFuture<Void> resumed() {
		return this.resumed;
	}

	/**
	 * Makes the next status requests fail.
	 * @param requests the number of requests that fail
	 */
	synchronized void failStatus(int requests) {
		this.statusFailures = requests;
	}

	synchronized Optional<String> violation() {
		return this.violation;
	}

	private void runPass() {
		if (this.ranks.get(GroupView.HOLD_RANK).holdStep == this.step + 1) {
			return;
		}
		this.step++;
		this.ranks.forEach(Rank::beginPass);
		long map = this.ranks.get(0).map;
		if (this.ranks.stream().anyMatch((rank) -> rank.map != map)) {
			this.violation = Optional.of("two maps in forward pass " + this.step);
		}
		if (this.switches >= 2) {
			this.switchedTwice.complete(null);
		}
		if (this.heldOnce && ++this.passesAfterHold > 5) {
			this.resumed.complete(null);
		}
	}

	private final class Rank implements RankEngine {

		private final int number;

		private final int size;

		private final long[] counts = new long[FakeGroup.this.experts];

		private long map;

		private int[] experts;

		private long prepared = -1;

		private int[] preparedExperts;

		private long armedVersion = -1;

		private long armedStep = -1;

		private long holdStep = -1;

		private long highestFence;

		private Rank(int number, int size) {
			this.number = number;
			this.size = size;
			this.experts = new int[FakeGroup.this.experts / size];
			for (int index = 0; index < this.experts.length; index++) {
				this.experts[index] = number + index * size;
			}
		}

		private void beginPass() {
			for (int expert = 0; expert < FakeGroup.this.experts; expert++) {
				// The load changes: another expert is hot after the first switch.
				boolean hot = expert == ((FakeGroup.this.switches == 0) ? 0 : 1);
				this.counts[expert] += hot ? 4_000 : 100;
			}
			if (this.armedStep == FakeGroup.this.step) {
				this.map = this.armedVersion;
				this.experts = this.preparedExperts;
				this.prepared = -1;
				this.armedVersion = -1;
				this.armedStep = -1;
				FakeGroup.this.switches += (this.number == 0) ? 1 : 0;
			}
		}

		@Override
		public CompletionStage<Optional<RankStatus>> status() {
			synchronized (FakeGroup.this) {
				if (FakeGroup.this.statusFailures > 0) {
					FakeGroup.this.statusFailures--;
					throw new IllegalStateException("status request failed");
				}
				runPass();
				Optional<RankStatus.Armed> armed = (this.armedVersion < 0) ? Optional.empty()
						: Optional.of(new RankStatus.Armed(this.armedVersion, this.armedStep));
				return CompletableFuture.completedFuture(
						Optional.of(new RankStatus("g", 1, this.number, this.size, true, 1, FakeGroup.this.step,
								this.map, toOptional(this.prepared), armed, toOptional(this.holdStep))));
			}
		}

		private static OptionalLong toOptional(long value) {
			return (value < 0) ? OptionalLong.empty() : OptionalLong.of(value);
		}

		@Override
		public CompletionStage<Optional<long[]>> counts() {
			synchronized (FakeGroup.this) {
				return CompletableFuture.completedFuture(Optional.of(this.counts.clone()));
			}
		}

		@Override
		public CompletionStage<Optional<LocalExperts>> experts() {
			synchronized (FakeGroup.this) {
				return CompletableFuture
					.completedFuture(Optional.of(new LocalExperts(this.map, new int[][] { this.experts.clone() })));
			}
		}

		@Override
		public CompletionStage<OrderResult> order(RankOrder order, long epoch, long fence) {
			synchronized (FakeGroup.this) {
				if (fence < this.highestFence) {
					return CompletableFuture.completedFuture(OrderResult.SUPERSEDED);
				}
				this.highestFence = fence;
				OrderResult result = execute(order) ? OrderResult.ACCEPTED : OrderResult.REFUSED;
				boolean unanswered = ++FakeGroup.this.orders % FakeGroup.this.unansweredInterval == 0;
				return CompletableFuture.completedFuture(unanswered ? OrderResult.UNKNOWN : result);
			}
		}

		private boolean execute(RankOrder order) {
			if (order instanceof RankOrder.Prepare prepare) {
				this.prepared = prepare.version();
				this.preparedExperts = prepare.experts()[0][this.number];
			}
			else if (order instanceof RankOrder.Arm arm) {
				if (this.prepared != arm.version() || arm.step() <= FakeGroup.this.step) {
					return false;
				}
				this.armedVersion = arm.version();
				this.armedStep = arm.step();
			}
			else if (order instanceof RankOrder.Disarm) {
				this.armedVersion = -1;
				this.armedStep = -1;
			}
			else if (order instanceof RankOrder.Hold hold) {
				if (hold.step() <= FakeGroup.this.step) {
					return false;
				}
				this.holdStep = hold.step();
				FakeGroup.this.heldOnce = true;
				FakeGroup.this.firstHeld.complete(null);
			}
			else if (order instanceof RankOrder.Go) {
				this.holdStep = -1;
			}
			return true;
		}

		@Override
		public void close() {
			// Nothing to close.
		}

	}

}
