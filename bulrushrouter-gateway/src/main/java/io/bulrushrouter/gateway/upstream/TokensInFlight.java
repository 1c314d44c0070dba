package io.bulrushrouter.gateway.upstream;

import java.util.HashMap;
import java.util.Map;

/**
 * The prompt and answer tokens of the requests that this entry has in flight at each
 * upstream, so that they stay within the memory of its engine. Not thread-safe.
 */
public final class TokensInFlight {

	private final Map<String, Long> tokens = new HashMap<>();

	/**
	 * Returns whether a request fits beside those in flight.
	 * @param upstream the upstream's identifier
	 * @param added the tokens of the request
	 * @param capacity the tokens that the memory of the engine holds
	 * @return whether all of them fit
	 */
	public boolean fits(String upstream, long added, long capacity) {
		return this.tokens.getOrDefault(upstream, 0L) + added <= capacity;
	}

	/**
	 * Records that a request is sent.
	 * @param upstream the upstream's identifier
	 * @param added the tokens of the request
	 */
	public void started(String upstream, long added) {
		this.tokens.merge(upstream, added, Long::sum);
	}

	/**
	 * Records that a request has ended.
	 * @param upstream the upstream's identifier
	 * @param removed the tokens of the request
	 */
	public void ended(String upstream, long removed) {
		this.tokens.computeIfPresent(upstream, (id, sum) -> (sum > removed) ? sum - removed : null);
	}

}
