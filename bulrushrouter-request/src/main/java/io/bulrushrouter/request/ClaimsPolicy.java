package io.bulrushrouter.request;

import java.time.Duration;

import io.bulrushrouter.kernel.OrganisationId;

/**
 * How claims are laid out in the platform. All processes have to use the same number of
 * shards and archives. Together they hold {@code shards * archives * segmentClaims}
 * claims; new ones are refused rather than any lost before its time.
 *
 * @param shards the number of objects that new claims are written to
 * @param archives the number of full segments that a shard keeps
 * @param maxSegmentClaims the claims of a full segment
 * @param minWriteInterval the shortest time between two writes to a shard
 * @param retention how long a claim is kept at least
 * @param inFlightTimeout how long after its claim a request may still be running
 * @param retryAfter when a caller is told to come back while the store is down
 */
public record ClaimsPolicy(int shards, int archives, int maxSegmentClaims, Duration minWriteInterval,
		Duration retention, Duration inFlightTimeout, Duration retryAfter) {

	/**
	 * Returns the default layout.
	 * @return the layout
	 */
	public static ClaimsPolicy ofDefaults() {
		return new ClaimsPolicy(8, 512, 350, Duration.ofMillis(50), Duration.ofHours(1), Duration.ofMinutes(2),
				Duration.ofSeconds(2));
	}

	/**
	 * Returns the shard that decides a key. Claims of one shard are best sent to one
	 * sidecar, since it writes many at once; any other decides them as safely.
	 * @param organisation the caller's organisation
	 * @param key the idempotency key
	 * @return the shard, from 0
	 */
	public int shardOf(OrganisationId organisation, String key) {
		return Math.floorMod(KeyHash.of(organisation, key).high(), this.shards);
	}

}
