package io.bulrushrouter.request;

import java.util.Objects;

/**
 * A message between sidecars about claims.
 */
public sealed interface ClaimMessage {

	/**
	 * To the home of the key's shard: claim the key.
	 *
	 * @param request the claim
	 */
	record Claim(ClaimRequest request) implements ClaimMessage {

		/**
		 * Validates the components.
		 */
		public Claim {
			Objects.requireNonNull(request);
		}

	}

	/**
	 * From the home: the outcome of a claim.
	 *
	 * @param request the claim
	 * @param outcome the outcome of the claim
	 */
	record Settled(ClaimRequest request, ClaimOutcome outcome) implements ClaimMessage {

		/**
		 * Validates the components.
		 */
		public Settled {
			Objects.requireNonNull(request);
			Objects.requireNonNull(outcome);
		}

	}

	/**
	 * To the home: release the key, because its request did not run.
	 *
	 * @param request the claim as it was granted
	 */
	record Release(ClaimRequest request) implements ClaimMessage {

		/**
		 * Validates the components.
		 */
		public Release {
			Objects.requireNonNull(request);
		}

	}

}
