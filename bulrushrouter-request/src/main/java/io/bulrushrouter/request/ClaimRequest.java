package io.bulrushrouter.request;

import java.util.Objects;

import io.bulrushrouter.kernel.AttemptId;
import io.bulrushrouter.kernel.OrganisationId;

/**
 * A claim of an idempotency key by one attempt.
 *
 * @param attempt the attempt
 * @param holder the incarnation of the sidecar that runs it
 * @param organisation the caller's organisation, within which the key is unique
 * @param key the idempotency key
 * @param digest the hash of the request
 */
public record ClaimRequest(AttemptId attempt, long holder, OrganisationId organisation, String key, long digest) {

	/**
	 * Validates the components.
	 */
	public ClaimRequest {
		Objects.requireNonNull(attempt);
		Objects.requireNonNull(organisation);
		Objects.requireNonNull(key);
	}

}
