package io.bulrushrouter.daemon.sidecar;

import java.util.Optional;

import io.bulrushrouter.daemon.node.ControlMessages.AskClaim;
import io.bulrushrouter.daemon.node.ControlMessages.ClaimDecided;
import io.bulrushrouter.request.ClaimMessage;
import io.bulrushrouter.request.ClaimOutcome;
import io.bulrushrouter.wire.ControlCodec;
import io.bulrushrouter.wire.WireMessage;

/**
 * Converts messages about claims to control messages and back.
 */
final class ClaimMessageCodec {

	private ClaimMessageCodec() {
	}

	static WireMessage.Control encode(ClaimMessage message) {
		if (message instanceof ClaimMessage.Claim claim) {
			return ControlCodec.encode(new AskClaim(claim.request(), false));
		}
		if (message instanceof ClaimMessage.Release release) {
			return ControlCodec.encode(new AskClaim(release.request(), true));
		}
		ClaimMessage.Settled settled = (ClaimMessage.Settled) message;
		return ControlCodec.encode(toClaimDecided(settled));
	}

	private static ClaimDecided toClaimDecided(ClaimMessage.Settled settled) {
		ClaimOutcome outcome = settled.outcome();
		if (outcome instanceof ClaimOutcome.Granted) {
			return new ClaimDecided(settled.request(), "granted", false, 0);
		}
		if (outcome instanceof ClaimOutcome.KeyReused) {
			return new ClaimDecided(settled.request(), "key-reused", false, 0);
		}
		if (outcome instanceof ClaimOutcome.Held held) {
			return new ClaimDecided(settled.request(), "held", held.recent(), 0);
		}
		if (outcome instanceof ClaimOutcome.Unavailable unavailable) {
			return new ClaimDecided(settled.request(), "unavailable", false, unavailable.retryAfterMillis());
		}
		return new ClaimDecided(settled.request(), "lost", false, 0);
	}

	static Optional<ClaimMessage> decode(WireMessage.Control control) {
		if (control.topic().equals(AskClaim.class.getSimpleName())) {
			AskClaim ask = ControlCodec.decode(control, AskClaim.class);
			return Optional
				.of(ask.release() ? new ClaimMessage.Release(ask.request()) : new ClaimMessage.Claim(ask.request()));
		}
		if (control.topic().equals(ClaimDecided.class.getSimpleName())) {
			ClaimDecided decided = ControlCodec.decode(control, ClaimDecided.class);
			return Optional.of(new ClaimMessage.Settled(decided.request(), toClaimOutcome(decided)));
		}
		return Optional.empty();
	}

	private static ClaimOutcome toClaimOutcome(ClaimDecided decided) {
		return switch (decided.outcome()) {
			case "granted" -> new ClaimOutcome.Granted();
			case "key-reused" -> new ClaimOutcome.KeyReused();
			case "held" -> new ClaimOutcome.Held(decided.recent());
			case "unavailable" -> new ClaimOutcome.Unavailable(decided.retryAfterMillis());
			default -> new ClaimOutcome.Lost();
		};
	}

}
