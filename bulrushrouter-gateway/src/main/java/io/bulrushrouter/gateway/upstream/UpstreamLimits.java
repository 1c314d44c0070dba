package io.bulrushrouter.gateway.upstream;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.gateway.source.UpstreamRecord;

/**
 * The request rates that upstreams in need have asked for. An upstream names its limit in
 * its responses for as long as the limit applies. This entry spaces its requests by its
 * share of the limit and saves nothing up, since what all entries had saved up could
 * arrive at once. Not thread-safe.
 */
public final class UpstreamLimits {

	private static final Logger logger = LoggerFactory.getLogger(UpstreamLimits.class);

	private final LimitShare share;

	private final Map<String, Limit> limits = new HashMap<>();

	/**
	 * Creates an instance without limits.
	 * @param share divides a limit among the entries
	 */
	public UpstreamLimits(LimitShare share) {
		this.share = share;
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
			if (this.limits.remove(id) != null) {
				logger.info("event=upstream-limit-lifted upstream={}", id);
			}
			return;
		}
		double rate = requestsPerSecond.getAsDouble();
		Limit known = this.limits.get(id);
		if (known == null || known.requestsPerSecond() != rate) {
			logger.info("event=upstream-limit upstream={} requests-per-second={} share={}", id, rate,
					this.share.share(id, rate));
			this.limits.put(id, new Limit(rate, (known != null) ? known.lastSentNanos() : nowNanos));
		}
	}

	/**
	 * Returns the upstreams to which a request may be sent now.
	 * @param candidates the upstreams to choose from
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return those without a limit and those whose limit leaves room
	 */
	public List<UpstreamRecord> allowed(List<UpstreamRecord> candidates, long nowNanos) {
		if (this.limits.isEmpty()) {
			return candidates;
		}
		return candidates.stream().filter((candidate) -> allows(candidate.id(), nowNanos)).toList();
	}

	private boolean allows(String id, long nowNanos) {
		Limit limit = this.limits.get(id);
		if (limit == null) {
			return true;
		}
		double intervalNanos = TimeUnit.SECONDS.toNanos(1) / this.share.share(id, limit.requestsPerSecond());
		return nowNanos - limit.lastSentNanos() >= intervalNanos;
	}

	/**
	 * Records that an upstream was chosen for a request.
	 * @param id the upstream's identifier
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void sent(String id, long nowNanos) {
		this.limits.computeIfPresent(id, (key, limit) -> new Limit(limit.requestsPerSecond(), nowNanos));
	}

	/**
	 * Discards the limits of upstreams that are no longer listed.
	 * @param listed the identifiers of the listed upstreams
	 */
	public void retain(Set<String> listed) {
		this.limits.keySet().retainAll(listed);
	}

	/**
	 * The limit of one upstream.
	 *
	 * @param requestsPerSecond the limit over all entries
	 * @param lastSentNanos the time of this entry's last request to it, or at which the
	 * limit became known
	 */
	private record Limit(double requestsPerSecond, long lastSentNanos) {
	}

}
