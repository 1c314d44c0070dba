package io.bulrushrouter.gateway.upstream;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The request rates that upstreams in need have asked for. An upstream names its limit in
 * its responses for as long as the limit applies. Not thread-safe.
 */
public final class UpstreamLimits {

	private static final Logger logger = LoggerFactory.getLogger(UpstreamLimits.class);

	private final Map<String, Double> limits = new HashMap<>();

	/**
	 * Records what a response of an upstream said about its limit.
	 * @param id the upstream's identifier
	 * @param requestsPerSecond the limit over all entries, or empty if the response named
	 * none
	 */
	public void named(String id, OptionalDouble requestsPerSecond) {
		if (requestsPerSecond.isEmpty()) {
			if (this.limits.remove(id) != null) {
				logger.info("event=upstream-limit-lifted upstream={}", id);
			}
			return;
		}
		Double limit = requestsPerSecond.getAsDouble();
		if (!limit.equals(this.limits.put(id, limit))) {
			logger.info("event=upstream-limit upstream={} requests-per-second={}", id, limit);
		}
	}

	/**
	 * Discards the limits of upstreams that are no longer listed.
	 * @param listed the identifiers of the listed upstreams
	 */
	public void retain(Set<String> listed) {
		this.limits.keySet().retainAll(listed);
	}

}
