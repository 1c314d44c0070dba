package io.bulrushrouter.standin;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;

import io.bulrushrouter.kernel.GroupId;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * Sidecars with their engines in memory, which obey whatever passes their fencing guards
 * and count what must not happen. Each sidecar compares an order's number with the
 * highest that the platform has given out; an engine that checks refuses a number that is
 * lower than one it has obeyed.
 */
public final class FleetStandin {

	private final Map<UpstreamId, Upstream> upstreams = new TreeMap<>();

	private final LongSupplier platformFence;

	private boolean sidecarsCheckFence = true;

	private boolean enginesCheckFence = true;

	private long begun;

	private long answered;

	private long aborted;

	private long repeated;

	private long stale;

	private long staleAtEngine;

	private long prematureRanks;

	/**
	 * Creates an empty fleet.
	 * @param platformFence reads the highest fencing number from the platform; negative
	 * if the platform does not answer
	 */
	public FleetStandin(LongSupplier platformFence) {
		this.platformFence = platformFence;
	}

	/**
	 * Adds a running upstream.
	 * @param id the upstream
	 * @param group its rank group, or empty
	 * @param checksFence whether its engine refuses old fencing numbers
	 */
	public void add(UpstreamId id, Optional<GroupId> group, boolean checksFence) {
		this.upstreams.put(id, new Upstream(id, group, checksFence));
	}

	/**
	 * Switches the fencing guards.
	 * @param sidecars whether sidecars refuse old numbers
	 * @param engines whether those engines do that check
	 */
	public void setFencingChecks(boolean sidecars, boolean engines) {
		this.sidecarsCheckFence = sidecars;
		this.enginesCheckFence = engines;
	}

	/**
	 * Lets an engine refuse all orders, or obey again. The gate is the sidecar's, and
	 * closes in any case.
	 * @param id the upstream
	 * @param reason what it says, or empty to obey
	 */
	public void refuse(UpstreamId id, Optional<String> reason) {
		this.upstreams.get(id).refusal = reason;
	}

	/**
	 * Begins a request at an upstream, and at all ranks of its group.
	 * @param id the upstream
	 * @return whether all their gates were open
	 */
	public boolean begin(UpstreamId id) {
		List<Upstream> ranks = ranks(this.upstreams.get(id));
		if (ranks.stream().anyMatch((rank) -> rank.state != State.RUNNING)) {
			return false;
		}
		ranks.forEach((rank) -> rank.inFlight++);
		this.begun++;
		return true;
	}

	/**
	 * Answers a request that was begun.
	 * @param id the upstream
	 * @return whether there was one
	 */
	public boolean finish(UpstreamId id) {
		List<Upstream> ranks = ranks(this.upstreams.get(id));
		if (ranks.get(0).inFlight == 0) {
			return false;
		}
		ranks.forEach((rank) -> rank.inFlight--);
		this.answered++;
		return true;
	}

	/**
	 * Carries out an order.
	 * @param id the upstream
	 * @param to the state to reach
	 * @param fence the fencing number
	 * @return what came of it
	 */
	public OrderResult order(UpstreamId id, State to, long fence) {
		Upstream upstream = this.upstreams.get(id);
		Optional<OrderResult> refused = rejection(upstream, to, fence);
		if (refused.isPresent()) {
			return refused.get();
		}
		if (fence < this.platformFence.getAsLong()) {
			this.stale++;
		}
		if (fence < upstream.highestFence) {
			this.staleAtEngine++;
		}
		upstream.highestFence = Math.max(upstream.highestFence, fence);
		if (upstream.state.compareTo(to) < 0) {
			transition(upstream, to);
		}
		return OrderResult.DONE;
	}

	private Optional<OrderResult> rejection(Upstream upstream, State to, long fence) {
		long highest = this.platformFence.getAsLong();
		if (this.sidecarsCheckFence && highest < 0) {
			return Optional.of(OrderResult.UNDECIDED);
		}
		boolean staleAtSidecar = this.sidecarsCheckFence && fence < highest;
		boolean oldToEngine = this.enginesCheckFence && upstream.checksFence && fence < upstream.highestFence;
		if (staleAtSidecar || oldToEngine) {
			return Optional.of(OrderResult.STALE);
		}
		return upstream.refusal.filter((reason) -> to != State.LEAVING).map((reason) -> OrderResult.REFUSED);
	}

	private void transition(Upstream upstream, State to) {
		if (!upstream.reachedStates.add(to)) {
			this.repeated++;
		}
		if (to != State.LEAVING) {
			this.aborted += upstream.inFlight;
			upstream.inFlight = 0;
			State requiredState = (to == State.STOPPED) ? State.UNLOADED : State.LEAVING;
			this.prematureRanks += ranks(upstream).stream()
				.filter((rank) -> rank.state.compareTo(requiredState) < 0)
				.count();
		}
		upstream.state = to;
	}

	private List<Upstream> ranks(Upstream upstream) {
		if (upstream.group.isEmpty()) {
			return List.of(upstream);
		}
		return this.upstreams.values().stream().filter((other) -> other.group.equals(upstream.group)).toList();
	}

	/**
	 * Returns what the sidecars say.
	 * @return one status for each upstream, by name
	 */
	public List<Status> statuses() {
		List<Status> statuses = new ArrayList<>();
		this.upstreams.values()
			.forEach((upstream) -> statuses
				.add(new Status(upstream.id, upstream.state, upstream.inFlight, upstream.refusal)));
		return statuses;
	}

	/**
	 * Returns what was counted.
	 * @return the counts
	 */
	public Counts counts() {
		return new Counts(this.begun, this.answered, this.aborted, this.repeated, this.stale, this.staleAtEngine,
				this.prematureRanks);
	}

	/**
	 * The states that orders name.
	 */
	public enum State {

		/** Takes requests. */
		RUNNING,

		/** The gate is closed. */
		LEAVING,

		/** The engine holds no model. */
		UNLOADED,

		/** Stopped. */
		STOPPED

	}

	/**
	 * What came of an order.
	 */
	public enum OrderResult {

		/** It is carried out, or was before. */
		DONE,

		/** The engine refuses. */
		REFUSED,

		/** The fencing number is old. */
		STALE,

		/** The sidecar cannot read the highest fencing number, and holds the order. */
		UNDECIDED

	}

	/**
	 * What a sidecar says.
	 *
	 * @param id the upstream
	 * @param state its state
	 * @param inFlight how many requests were begun and not answered
	 * @param refusal what its engine says to orders, or empty
	 */
	public record Status(UpstreamId id, State state, int inFlight, Optional<String> refusal) {
	}

	/**
	 * What was counted.
	 *
	 * @param begun requests that were begun
	 * @param answered requests that were answered
	 * @param aborted requests that an unload or stop cut off
	 * @param repeated orders that took effect again
	 * @param stale orders that were obeyed though the platform had given out a higher
	 * number
	 * @param staleAtEngine orders that were obeyed though their engine had seen a higher
	 * number
	 * @param prematureRanks ranks that were unloaded or stopped before their group was
	 * ready
	 */
	public record Counts(long begun, long answered, long aborted, long repeated, long stale, long staleAtEngine,
			long prematureRanks) {

		/**
		 * Counts what must not happen.
		 * @return the number of violations
		 */
		public long violations() {
			return this.aborted + this.repeated + this.stale + this.staleAtEngine + this.prematureRanks;
		}

	}

	private static final class Upstream {

		private final UpstreamId id;

		private final Optional<GroupId> group;

		private final boolean checksFence;

		private final Set<State> reachedStates = EnumSet.noneOf(State.class);

		private State state = State.RUNNING;

		private int inFlight;

		private long highestFence;

		private Optional<String> refusal = Optional.empty();

		private Upstream(UpstreamId id, Optional<GroupId> group, boolean checksFence) {
			this.id = id;
			this.group = group;
			this.checksFence = checksFence;
		}

	}

}
