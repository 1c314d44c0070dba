package io.bulrushrouter.request;

import io.bulrushrouter.kernel.AttemptId;

/**
 * A claim as stored; a later record of the same key replaces an earlier one.
 *
 * @param key the key's hash
 * @param digest the hash of the request
 * @param attempt the attempt that holds the key
 * @param holder the incarnation of the sidecar that runs it
 * @param epochSeconds when it was claimed, in seconds since 1970
 * @param released whether the attempt did not run and released the key
 */
record ClaimRecord(KeyHash key, long digest, AttemptId attempt, long holder, long epochSeconds, boolean released) {

	static ClaimRecord of(ClaimRequest request, long epochSeconds, boolean released) {
		return new ClaimRecord(KeyHash.of(request.organisation(), request.key()), request.digest(), request.attempt(),
				request.holder(), epochSeconds, released);
	}

	boolean isHeldBy(ClaimRequest request) {
		return this.attempt.equals(request.attempt()) && this.holder == request.holder();
	}

	/**
	 * Returns whether the claim belongs to an earlier attempt of the same request. An
	 * entry sends a further attempt of a non-idempotent request only if the earlier ones
	 * certainly did not run, so the claim transfers to the further attempt.
	 * @param request the claim of the further attempt
	 * @return whether the claim transfers to it
	 */
	boolean transfersTo(ClaimRequest request) {
		return this.attempt.request().equals(request.attempt().request())
				&& this.attempt.attempt() < request.attempt().attempt();
	}

}
