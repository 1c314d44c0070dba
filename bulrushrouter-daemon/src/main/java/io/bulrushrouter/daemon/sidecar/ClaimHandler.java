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
 * Performs the actions that {@link ClaimRouter} decides on: claims idempotency keys in
 * this process or at the sidecar that is responsible for the key's shard. Accessed by the
 * sidecar's duty only.
 */
final class ClaimHandler {

	private final ClaimRouter router;

	private final Claims claims;

	private final TimeSource time;

	private final BiConsumer<UpstreamId, ClaimMessage> peerSender;

	private final BiConsumer<AttemptId, ClaimOutcome> outcomeListener;

	private final Map<AttemptId, UpstreamId> homes = new HashMap<>();

	/**
	 * Creates a handler.
	 * @param router decides at which sidecar a key is claimed
	 * @param claims claims keys in the platform's store
	 * @param time the time source
	 * @param peerSender sends a message to another sidecar; drops it if the sidecar
	 * cannot be reached
	 * @param outcomeListener receives the outcome of the claim for an attempt of this
	 * sidecar
	 */
	ClaimHandler(ClaimRouter router, Claims claims, TimeSource time, BiConsumer<UpstreamId, ClaimMessage> peerSender,
			BiConsumer<AttemptId, ClaimOutcome> outcomeListener) {
		this.router = router;
		this.claims = claims;
		this.time = time;
		this.peerSender = peerSender;
		this.outcomeListener = outcomeListener;
	}

	void updateLiveSidecars(Collection<UpstreamId> sidecars) {
		this.router.liveSidecars(sidecars);
	}

	void claim(ClaimRequest request) {
		this.homes.put(request.attempt(), this.router.homeOf(request));
		handleEvent(new ClaimEvent.ClaimRequested(request));
	}

	void release(ClaimRequest request) {
		handleEvent(new ClaimEvent.ReleaseRequested(request));
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
		if (action instanceof ClaimAction.ClaimLocally local) {
			this.claims.claim(local.request(),
					(outcome) -> handleEvent(new ClaimEvent.DecidedLocally(local.request(), outcome)));
		}
		else if (action instanceof ClaimAction.ReleaseLocally local) {
			this.claims.release(local.request());
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
			// Skips a home that did not answer until the live list is read again.
			home.ifPresent(this::sidecarDisconnected);
		}
	}

}
