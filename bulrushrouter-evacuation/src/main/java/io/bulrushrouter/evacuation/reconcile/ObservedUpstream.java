package io.bulrushrouter.evacuation.reconcile;

import java.util.Objects;
import java.util.Optional;

import io.bulrushrouter.kernel.UpstreamId;

/**
 * The state of an upstream as reported in one response of its sidecar. The phase and the
 * number of requests must come from the same response: only then does a count of zero
 * behind a closed gate mean that no further requests can arrive.
 *
 * @param upstream the upstream
 * @param phase the phase of the upstream
 * @param inFlight the number of requests in flight
 * @param refusal the reason that its engine gave when it last refused an order, or empty
 */
public record ObservedUpstream(UpstreamId upstream, Phase phase, int inFlight, Optional<String> refusal) {

	/**
	 * Creates a state whose components must not be null.
	 */
	public ObservedUpstream {
		Objects.requireNonNull(upstream);
		Objects.requireNonNull(phase);
		Objects.requireNonNull(refusal);
	}

}
