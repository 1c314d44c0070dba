package io.bulrushrouter.evacuation.reconcile;

import java.util.Objects;
import java.util.Optional;

import io.bulrushrouter.kernel.UpstreamId;

/**
 * What one answer of an upstream's sidecar says. Phase and requests must come from the
 * same answer: only then do no requests in a closed gate mean that none will come.
 *
 * @param upstream the upstream
 * @param phase its phase
 * @param inFlight how many requests it has begun and not answered
 * @param refusal what its engine said when it last refused an order, or empty
 */
public record ObservedUpstream(UpstreamId upstream, Phase phase, int inFlight, Optional<String> refusal) {

	/**
	 * Checks the parts.
	 */
	public ObservedUpstream {
		Objects.requireNonNull(upstream);
		Objects.requireNonNull(phase);
		Objects.requireNonNull(refusal);
	}

}
