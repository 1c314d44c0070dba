package io.bulrushrouter.request;

import java.time.Duration;

import io.bulrushrouter.kernel.OrganisationId;

/**
 * Layout of claims in the platform's store, and their time limits. All processes have to
 * use the same number of shards and archives. The capacity is
 * {@code shards * archives * maxSegmentClaims} claims; when it is exhausted, new claims
 * are refused, so that none is lost before the end of its retention time.
 *
 * @param shards the number of objects that new claims are written to
 * @param archives the number of full segments that a shard keeps
 * @param maxSegmentClaims the number of claims at which a segment is full
 * @param minWriteInterval the minimum time between two writes to a shard
 * @param retention the minimum time for which a claim is kept
 * @param inFlightTimeout how long after its claim a request counts as possibly running
 * @param retryAfter the retry-after time while the store is unavailable, and the maximum
 * backoff
 */
public record ClaimsPolicy(int shards, int archives, int maxSegmentClaims, Duration minWriteInterval,
		Duration retention, Duration inFlightTimeout, Duration retryAfter) {

	/**
	 * Returns the default policy.
	 * @return the policy
	 */
	public static ClaimsPolicy ofDefaults() {
		return new ClaimsPolicy(8, 512, 350, Duration.ofMillis(50), Duration.ofHours(1), Duration.ofMinutes(2),
				Duration.ofSeconds(2));
	}

	/**
	 * Returns the shard of a key. Claims of one shard are best sent to one sidecar, which
	 * writes them in batches; any other sidecar decides them equally safely.
	 * @param organisation the caller's organisation
	 * @param key the idempotency key
	 * @return the shard, from 0
	 */
	public int shardOf(OrganisationId organisation, String key) {
		return Math.floorMod(KeyHash.of(organisation, key).high(), this.shards);
	}

}
