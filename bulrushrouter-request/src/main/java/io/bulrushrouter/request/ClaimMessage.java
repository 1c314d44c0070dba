package io.bulrushrouter.request;

import java.util.Objects;

/**
 * What sidecars say to each other about claims.
 */
public sealed interface ClaimMessage {

	/**
	 * To the home of the key's shard: claim this.
	 *
	 * @param request the claim
	 */
	record Claim(ClaimRequest request) implements ClaimMessage {

		/**
		 * Checks the parts.
		 */
		public Claim {
			Objects.requireNonNull(request);
		}

	}

	/**
	 * From the home: this was decided.
	 *
	 * @param request the claim
	 * @param outcome what was decided
	 */
	record Settled(ClaimRequest request, ClaimOutcome outcome) implements ClaimMessage {

		/**
		 * Checks the parts.
		 */
		public Settled {
			Objects.requireNonNull(request);
			Objects.requireNonNull(outcome);
		}

	}

	/**
	 * To the home: free the key, since its request did not run.
	 *
	 * @param request the claim as it was granted
	 */
	record Release(ClaimRequest request) implements ClaimMessage {

		/**
		 * Checks the parts.
		 */
		public Release {
			Objects.requireNonNull(request);
		}

	}

}
