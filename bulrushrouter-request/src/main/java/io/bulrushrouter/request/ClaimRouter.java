package io.bulrushrouter.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

import com.dynatrace.hash4j.hashing.Hashing;

import io.bulrushrouter.kernel.UpstreamId;

/**
 * Routes the claims of one shard to one sidecar, its home, so that they are written in
 * batches. The home is chosen by rendezvous hashing over the live list. The list may be
 * out of date, so two homes can be active at the same time; that costs additional calls
 * to the store but is safe, because the platform's conditional write decides. A claim is
 * sent to one process only: if the answer is lost, the attempt does not run and the key
 * is released. Not thread-safe.
 */
public final class ClaimRouter {

	private final UpstreamId self;

	private final ClaimsPolicy policy;

	private final Duration answerTimeout;

	private final Map<ClaimRequest, PendingClaim> pendingClaims = new LinkedHashMap<>();

	private final Map<ClaimRequest, UpstreamId> waitingPeers = new HashMap<>();

	private final Set<UpstreamId> unreachable = new HashSet<>();

	private List<UpstreamId> liveSidecars = List.of();

	private ClaimRouter(UpstreamId self, ClaimsPolicy policy, Duration answerTimeout) {
		this.self = Objects.requireNonNull(self);
		this.policy = Objects.requireNonNull(policy);
		this.answerTimeout = Objects.requireNonNull(answerTimeout);
	}

	/**
	 * Creates a router that decides all claims locally until it knows the live sidecars.
	 * @param self the upstream of this sidecar
	 * @param policy the layout of claims
	 * @param answerTimeout the time after which a home's answer counts as lost
	 * @return the router
	 */
	public static ClaimRouter of(UpstreamId self, ClaimsPolicy policy, Duration answerTimeout) {
		return new ClaimRouter(self, policy, answerTimeout);
	}

	/**
	 * Sets the sidecars that may be homes. Sidecars that were unreachable may be chosen
	 * again.
	 * @param sidecars the upstreams of the live sidecars that accept claims
	 */
	public void liveSidecars(Collection<UpstreamId> sidecars) {
		this.liveSidecars = List.copyOf(sidecars);
		this.unreachable.clear();
	}

	/**
	 * Returns the home of a claim's shard.
	 * @param request the claim
	 * @return the home's upstream
	 */
	public UpstreamId homeOf(ClaimRequest request) {
		int shard = this.policy.shardOf(request.organisation(), request.key());
		return this.liveSidecars.stream()
			.filter((upstream) -> !this.unreachable.contains(upstream))
			.max(Comparator.comparingLong((upstream) -> weight(shard, upstream)))
			.orElse(this.self);
	}

	private static long weight(int shard, UpstreamId upstream) {
		return Hashing.komihash5_0().hashCharsToLong(shard + "/" + upstream);
	}

	/**
	 * Returns when the next {@link ClaimEvent.Tick} is due.
	 * @return the time in nanoseconds, or {@link Long#MAX_VALUE} if none is due
	 */
	public long nextWakeNanos() {
		return this.pendingClaims.values().stream().mapToLong(PendingClaim::deadlineNanos).min().orElse(Long.MAX_VALUE);
	}

	/**
	 * Handles an event.
	 * @param event the event
	 * @param nowNanos the current time, in nanoseconds
	 * @param actions receives the actions to perform, in order
	 */
	public void on(ClaimEvent event, long nowNanos, Consumer<ClaimAction> actions) {
		if (event instanceof ClaimEvent.ClaimRequested requested) {
			requestClaim(requested.request(), nowNanos, actions);
		}
		else if (event instanceof ClaimEvent.ReleaseRequested releaseRequested) {
			release(releaseRequested.request(), actions);
		}
		else if (event instanceof ClaimEvent.Received received) {
			receive(received, actions);
		}
		else if (event instanceof ClaimEvent.DecidedLocally decided) {
			replyDecision(decided, actions);
		}
		else if (event instanceof ClaimEvent.PeerLost peer) {
			this.unreachable.add(peer.upstream());
			settleLost((pending) -> pending.home().equals(peer.upstream()), actions);
		}
		else {
			settleLost((pending) -> pending.deadlineNanos() <= nowNanos, actions);
		}
	}

	private void requestClaim(ClaimRequest request, long nowNanos, Consumer<ClaimAction> actions) {
		UpstreamId home = homeOf(request);
		if (home.equals(this.self)) {
			actions.accept(new ClaimAction.ClaimLocally(request));
			return;
		}
		this.pendingClaims.put(request, new PendingClaim(home, nowNanos + this.answerTimeout.toNanos()));
		actions.accept(new ClaimAction.Send(home, new ClaimMessage.Claim(request)));
	}

	private void release(ClaimRequest request, Consumer<ClaimAction> actions) {
		UpstreamId home = homeOf(request);
		actions.accept(home.equals(this.self) ? new ClaimAction.ReleaseLocally(request)
				: new ClaimAction.Send(home, new ClaimMessage.Release(request)));
	}

	private void receive(ClaimEvent.Received received, Consumer<ClaimAction> actions) {
		if (received.message() instanceof ClaimMessage.Claim claim) {
			this.waitingPeers.put(claim.request(), received.from());
			actions.accept(new ClaimAction.ClaimLocally(claim.request()));
		}
		else if (received.message() instanceof ClaimMessage.Release release) {
			actions.accept(new ClaimAction.ReleaseLocally(release.request()));
		}
		else if (received.message() instanceof ClaimMessage.Settled settled
				&& this.pendingClaims.remove(settled.request()) != null) {
			actions.accept(new ClaimAction.Settle(settled.request().attempt(), settled.outcome()));
		}
	}

	private void replyDecision(ClaimEvent.DecidedLocally decided, Consumer<ClaimAction> actions) {
		Optional<UpstreamId> waitingPeer = Optional.ofNullable(this.waitingPeers.remove(decided.request()));
		actions.accept(waitingPeer
			.<ClaimAction>map((upstream) -> new ClaimAction.Send(upstream,
					new ClaimMessage.Settled(decided.request(), decided.outcome())))
			.orElseGet(() -> new ClaimAction.Settle(decided.request().attempt(), decided.outcome())));
	}

	private void settleLost(Predicate<PendingClaim> condition, Consumer<ClaimAction> actions) {
		for (Map.Entry<ClaimRequest, PendingClaim> entry : new ArrayList<>(this.pendingClaims.entrySet())) {
			if (condition.test(entry.getValue())) {
				this.pendingClaims.remove(entry.getKey());
				actions.accept(new ClaimAction.Settle(entry.getKey().attempt(), new ClaimOutcome.Lost()));
				actions.accept(new ClaimAction.ReleaseLocally(entry.getKey()));
			}
		}
	}

	/**
	 * A claim that was sent to another sidecar.
	 *
	 * @param home the other sidecar's upstream
	 * @param deadlineNanos the time at which the answer counts as lost
	 */
	private record PendingClaim(UpstreamId home, long deadlineNanos) {
	}

}
