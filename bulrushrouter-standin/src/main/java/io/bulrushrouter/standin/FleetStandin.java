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
 * An in-memory fleet of sidecars and engines that carries out every order that passes its
 * fencing checks and counts violations. Each sidecar compares an order's fencing token
 * with the highest token that the platform has issued. An engine that checks tokens
 * refuses one that is lower than a token of an order that it has already carried out.
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
	 * @param platformFence reads the highest fencing token issued by the platform;
	 * negative if the platform does not answer
	 */
	public FleetStandin(LongSupplier platformFence) {
		this.platformFence = platformFence;
	}

	/**
	 * Adds a running upstream.
	 * @param id the upstream
	 * @param group its rank group, or empty
	 * @param checksFence whether its engine refuses stale fencing tokens
	 */
	public void add(UpstreamId id, Optional<GroupId> group, boolean checksFence) {
		this.upstreams.put(id, new Upstream(id, group, checksFence));
	}

	/**
	 * Enables or disables the fencing checks.
	 * @param sidecars whether sidecars refuse stale tokens
	 * @param engines whether engines that were added with a check apply it
	 */
	public void setFencingChecks(boolean sidecars, boolean engines) {
		this.sidecarsCheckFence = sidecars;
		this.enginesCheckFence = engines;
	}

	/**
	 * Makes an engine refuse all orders, or accept them again. Orders to leave are not
	 * affected, because the sidecar carries them out without its engine.
	 * @param id the upstream
	 * @param reason the reason that it reports, or empty to accept orders
	 */
	public void refuse(UpstreamId id, Optional<String> reason) {
		this.upstreams.get(id).refusal = reason;
	}

	/**
	 * Starts a request at an upstream and all ranks of its group.
	 * @param id the upstream
	 * @return whether the upstream and all ranks of its group were running
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
	 * Completes a request that was started.
	 * @param id the upstream
	 * @return whether a request was in flight
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
	 * @param to the target state
	 * @param fence the fencing token
	 * @return the result
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
	 * Returns the statuses that the sidecars report.
	 * @return one status for each upstream, ordered by name
	 */
	public List<Status> statuses() {
		List<Status> statuses = new ArrayList<>();
		this.upstreams.values()
			.forEach((upstream) -> statuses
				.add(new Status(upstream.id, upstream.state, upstream.inFlight, upstream.refusal)));
		return statuses;
	}

	/**
	 * Returns the counts of requests and violations.
	 * @return the counts
	 */
	public Counts counts() {
		return new Counts(this.begun, this.answered, this.aborted, this.repeated, this.stale, this.staleAtEngine,
				this.prematureRanks);
	}

	/**
	 * The states of an upstream, in the order that it passes through them.
	 */
	public enum State {

		/** Admits requests. */
		RUNNING,

		/** Admits no new requests. */
		LEAVING,

		/** The engine holds no model. */
		UNLOADED,

		/** The engine is stopped. */
		STOPPED

	}

	/**
	 * The result of an order.
	 */
	public enum OrderResult {

		/** The order was carried out, now or earlier. */
		DONE,

		/** The engine refused the order. */
		REFUSED,

		/** The fencing token is stale. */
		STALE,

		/**
		 * The sidecar cannot read the highest fencing token and does not carry out the
		 * order.
		 */
		UNDECIDED

	}

	/**
	 * The status that a sidecar reports for its upstream.
	 *
	 * @param id the upstream
	 * @param state its state
	 * @param inFlight the number of requests started and not yet answered
	 * @param refusal the reason for which its engine refuses orders, or empty
	 */
	public record Status(UpstreamId id, State state, int inFlight, Optional<String> refusal) {
	}

	/**
	 * Counts of requests and violations.
	 *
	 * @param begun requests that were started
	 * @param answered requests that were answered
	 * @param aborted requests in flight that an unload or stop aborted
	 * @param repeated state changes that took effect more than once
	 * @param stale orders that were carried out although the platform had issued a higher
	 * fencing token
	 * @param staleAtEngine orders that were carried out although their engine had already
	 * accepted a higher fencing token
	 * @param prematureRanks ranks that had not reached the required state when another
	 * rank of their group was unloaded or stopped
	 */
	public record Counts(long begun, long answered, long aborted, long repeated, long stale, long staleAtEngine,
			long prematureRanks) {

		/**
		 * Returns the number of violations.
		 * @return the sum of all counts other than started and answered requests
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
