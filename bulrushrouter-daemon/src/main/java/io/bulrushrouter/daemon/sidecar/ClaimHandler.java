package io.bulrushrouter.daemon.sidecar;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;

import io.bulrushrouter.kernel.AttemptId;
import io.bulrushrouter.kernel.TimeSource;
import io.bulrushrouter.kernel.UpstreamId;
import io.bulrushrouter.request.ClaimAction;
import io.bulrushrouter.request.ClaimEvent;
import io.bulrushrouter.request.ClaimMessage;
import io.bulrushrouter.request.ClaimOutcome;
import io.bulrushrouter.request.ClaimRequest;
import io.bulrushrouter.request.ClaimRouter;
import io.bulrushrouter.request.Claims;

/**
 * Carries out what {@link ClaimRouter} decides: claims keys here or at the home of their
 * shard. Owned by the sidecar's duty.
 */
final class ClaimHandler {

	private final ClaimRouter router;

	private final Claims claims;

	private final TimeSource time;

	private final BiConsumer<UpstreamId, ClaimMessage> peerSender;

	private final BiConsumer<AttemptId, ClaimOutcome> outcomeListener;

	private final Map<AttemptId, UpstreamId> homes = new HashMap<>();

	/**
	 * Creates a desk.
	 * @param router decides where a key is claimed
	 * @param claims claims keys in the platform
	 * @param time the clock
	 * @param peers sends a message to another sidecar, or drops it
	 * @param settled takes what was decided for an attempt of this sidecar
	 */
	ClaimHandler(ClaimRouter router, Claims claims, TimeSource time, BiConsumer<UpstreamId, ClaimMessage> peers,
			BiConsumer<AttemptId, ClaimOutcome> settled) {
		this.router = router;
		this.claims = claims;
		this.time = time;
		this.peerSender = peers;
		this.outcomeListener = settled;
	}

	void updateLiveSidecars(Collection<UpstreamId> sidecars) {
		this.router.live(sidecars);
	}

	void claim(ClaimRequest request) {
		this.homes.put(request.attempt(), this.router.homeOf(request));
		handleEvent(new ClaimEvent.Wanted(request));
	}

	void release(ClaimRequest request) {
		handleEvent(new ClaimEvent.GivenUp(request));
	}

	void handleMessage(UpstreamId from, ClaimMessage message) {
		handleEvent(new ClaimEvent.Received(from, message));
	}

	void sidecarDisconnected(UpstreamId sidecar) {
		handleEvent(new ClaimEvent.PeerLost(sidecar));
	}

	void tick() {
		if (this.claims.nextWakeNanos() <= this.time.nanos()) {
			this.claims.tick();
		}
		if (this.router.nextWakeNanos() <= this.time.nanos()) {
			handleEvent(new ClaimEvent.Tick());
		}
	}

	private void handleEvent(ClaimEvent event) {
		this.router.on(event, this.time.nanos(), this::perform);
	}

	private void perform(ClaimAction action) {
		if (action instanceof ClaimAction.ClaimHere here) {
			this.claims.claim(here.request(),
					(outcome) -> handleEvent(new ClaimEvent.DecidedHere(here.request(), outcome)));
		}
		else if (action instanceof ClaimAction.ReleaseHere here) {
			this.claims.release(here.request());
		}
		else if (action instanceof ClaimAction.Send send) {
			this.peerSender.accept(send.upstream(), send.message());
		}
		else if (action instanceof ClaimAction.Settle settle) {
			settle(settle.attempt(), settle.outcome());
		}
	}

	private void settle(AttemptId attempt, ClaimOutcome outcome) {
		Optional<UpstreamId> home = Optional.ofNullable(this.homes.remove(attempt));
		this.outcomeListener.accept(attempt, outcome);
		if (outcome instanceof ClaimOutcome.Lost) {
			// A home that did not answer is passed over until the list is read again.
			home.ifPresent(this::sidecarDisconnected);
		}
	}

}
