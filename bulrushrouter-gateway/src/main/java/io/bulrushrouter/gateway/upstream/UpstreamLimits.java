package io.bulrushrouter.gateway.upstream;

import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.gateway.source.UpstreamRecord;

/**
 * The request rates that overloaded upstreams have asked for. An upstream names its limit
 * in its responses for as long as the limit applies. This entry spaces its requests by
 * its share of the limit. Not thread-safe.
 */
public final class UpstreamLimits {

	private static final Logger logger = LoggerFactory.getLogger(UpstreamLimits.class);

	private final RequestSpacing spacing;

	/**
	 * Creates an instance without limits.
	 * @param share divides a limit among the entries
	 */
	public UpstreamLimits(LimitShare share) {
		this.spacing = new RequestSpacing(share);
	}

	/**
	 * Records what a response of an upstream said about its limit.
	 * @param id the upstream's identifier
	 * @param requestsPerSecond the limit over all entries, or empty if the response named
	 * none
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void named(String id, OptionalDouble requestsPerSecond, long nowNanos) {
		if (requestsPerSecond.isEmpty()) {
			if (this.spacing.lift(id)) {
				logger.info("event=upstream-limit-lifted upstream={}", id);
			}
			return;
		}
		if (!this.spacing.limit(id).equals(requestsPerSecond)) {
			double rate = requestsPerSecond.getAsDouble();
			logger.info("event=upstream-limit upstream={} requests-per-second={} share={}", id, rate,
					this.spacing.share(id, rate));
			this.spacing.limit(id, rate, 1, nowNanos);
		}
	}

	/**
	 * Returns the upstreams to which a request may be sent now.
	 * @param candidates the upstreams to choose from
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return those without a limit and those whose limit leaves room
	 */
	public List<UpstreamRecord> allowed(List<UpstreamRecord> candidates, long nowNanos) {
		if (this.spacing.isEmpty()) {
			return candidates;
		}
		return candidates.stream()
			.filter((candidate) -> this.spacing.waitNanos(candidate.id(), nowNanos) == 0)
			.toList();
	}

	/**
	 * Records that an upstream was chosen for a request.
	 * @param id the upstream's identifier
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void sent(String id, long nowNanos) {
		this.spacing.sent(id, nowNanos);
	}

	/**
	 * Discards the limits of upstreams that are no longer listed.
	 * @param listed the identifiers of the listed upstreams
	 */
	public void retain(Set<String> listed) {
		this.spacing.retain(listed);
	}

}
