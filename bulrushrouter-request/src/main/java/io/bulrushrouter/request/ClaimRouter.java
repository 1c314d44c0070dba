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
 * Brings the claims of one shard together at one sidecar, its home, so that many are
 * written at once. The home is named by rendezvous hashing over the live list. The list
 * lags, and two homes may be at work at once; that costs calls and never safety, since
 * the platform's conditional write decides. A claim is asked of one process only: if its
 * answer is lost, the attempt does not run and frees the key. Not thread-safe.
 */
public final class ClaimRouter {

	private final UpstreamId self;

	private final ClaimsPolicy policy;

	private final Duration answerWithin;

	private final Map<ClaimRequest, Asked> asked = new LinkedHashMap<>();

	private final Map<ClaimRequest, UpstreamId> askers = new HashMap<>();

	private final Set<UpstreamId> lost = new HashSet<>();

	private List<UpstreamId> live = List.of();

	private ClaimRouter(UpstreamId self, ClaimsPolicy policy, Duration answerWithin) {
		this.self = Objects.requireNonNull(self);
		this.policy = Objects.requireNonNull(policy);
		this.answerWithin = Objects.requireNonNull(answerWithin);
	}

	/**
	 * Returns a router that decides all claims here until it knows other sidecars.
	 * @param self the upstream of this sidecar
	 * @param policy the layout
	 * @param answerWithin how long a home may take to answer
	 * @return the router
	 */
	public static ClaimRouter of(UpstreamId self, ClaimsPolicy policy, Duration answerWithin) {
		return new ClaimRouter(self, policy, answerWithin);
	}

	/**
	 * Takes the sidecars that may be homes; those that were lost may be tried again.
	 * @param sidecars the upstreams of the live sidecars that take claims
	 */
	public void live(Collection<UpstreamId> sidecars) {
		this.live = List.copyOf(sidecars);
		this.lost.clear();
	}

	/**
	 * Returns where a key is claimed.
	 * @param request the claim
	 * @return the home's upstream
	 */
	public UpstreamId homeOf(ClaimRequest request) {
		int shard = this.policy.shardOf(request.organisation(), request.key());
		return this.live.stream()
			.filter((upstream) -> !this.lost.contains(upstream))
			.max(Comparator.comparingLong((upstream) -> weight(shard, upstream)))
			.orElse(this.self);
	}

	private static long weight(int shard, UpstreamId upstream) {
		return Hashing.komihash5_0().hashCharsToLong(shard + "/" + upstream);
	}

	/**
	 * Returns when the next {@link ClaimEvent.Tick} is due.
	 * @return the time, or {@link Long#MAX_VALUE} if none is due
	 */
	public long nextWakeNanos() {
		return this.asked.values().stream().mapToLong(Asked::untilNanos).min().orElse(Long.MAX_VALUE);
	}

	/**
	 * Handles an event.
	 * @param event what happened
	 * @param nowNanos the time
	 * @param actions takes what to do, in order
	 */
	public void on(ClaimEvent event, long nowNanos, Consumer<ClaimAction> actions) {
		if (event instanceof ClaimEvent.Wanted wanted) {
			ask(wanted.request(), nowNanos, actions);
		}
		else if (event instanceof ClaimEvent.GivenUp givenUp) {
			giveUp(givenUp.request(), actions);
		}
		else if (event instanceof ClaimEvent.Received received) {
			receive(received, actions);
		}
		else if (event instanceof ClaimEvent.DecidedHere decided) {
			answer(decided, actions);
		}
		else if (event instanceof ClaimEvent.PeerLost peer) {
			this.lost.add(peer.upstream());
			lose((pending) -> pending.home().equals(peer.upstream()), actions);
		}
		else {
			lose((pending) -> pending.untilNanos() <= nowNanos, actions);
		}
	}

	private void ask(ClaimRequest request, long nowNanos, Consumer<ClaimAction> actions) {
		UpstreamId home = homeOf(request);
		if (home.equals(this.self)) {
			actions.accept(new ClaimAction.ClaimHere(request));
			return;
		}
		this.asked.put(request, new Asked(home, nowNanos + this.answerWithin.toNanos()));
		actions.accept(new ClaimAction.Send(home, new ClaimMessage.Ask(request)));
	}

	private void giveUp(ClaimRequest request, Consumer<ClaimAction> actions) {
		UpstreamId home = homeOf(request);
		actions.accept(home.equals(this.self) ? new ClaimAction.ReleaseHere(request)
				: new ClaimAction.Send(home, new ClaimMessage.GiveUp(request)));
	}

	private void receive(ClaimEvent.Received received, Consumer<ClaimAction> actions) {
		if (received.message() instanceof ClaimMessage.Ask ask) {
			this.askers.put(ask.request(), received.from());
			actions.accept(new ClaimAction.ClaimHere(ask.request()));
		}
		else if (received.message() instanceof ClaimMessage.GiveUp giveUp) {
			actions.accept(new ClaimAction.ReleaseHere(giveUp.request()));
		}
		else if (received.message() instanceof ClaimMessage.Settled settled
				&& this.asked.remove(settled.request()) != null) {
			actions.accept(new ClaimAction.Settle(settled.request().attempt(), settled.outcome()));
		}
	}

	private void answer(ClaimEvent.DecidedHere decided, Consumer<ClaimAction> actions) {
		Optional<UpstreamId> asker = Optional.ofNullable(this.askers.remove(decided.request()));
		actions.accept(asker
			.<ClaimAction>map((upstream) -> new ClaimAction.Send(upstream,
					new ClaimMessage.Settled(decided.request(), decided.outcome())))
			.orElseGet(() -> new ClaimAction.Settle(decided.request().attempt(), decided.outcome())));
	}

	private void lose(Predicate<Asked> choice, Consumer<ClaimAction> actions) {
		for (Map.Entry<ClaimRequest, Asked> entry : new ArrayList<>(this.asked.entrySet())) {
			if (choice.test(entry.getValue())) {
				this.asked.remove(entry.getKey());
				actions.accept(new ClaimAction.Settle(entry.getKey().attempt(), new ClaimOutcome.Lost()));
				actions.accept(new ClaimAction.ReleaseHere(entry.getKey()));
			}
		}
	}

	/**
	 * A claim that another sidecar was asked for.
	 *
	 * @param home the other sidecar's upstream
	 * @param untilNanos when its answer counts as lost
	 */
	private record Asked(UpstreamId home, long untilNanos) {
	}

}
