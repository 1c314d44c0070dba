package io.bulrushrouter.gateway.upstream;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.gateway.source.UpstreamRecord;

/**
 * What upstreams said about themselves in their responses, and which of them may get a
 * request because of it. Not thread-safe.
 */
public final class UpstreamNotices {

	private static final Logger logger = LoggerFactory.getLogger(UpstreamNotices.class);

	/**
	 * How long a departure is remembered after the upstream was last listed. A store that
	 * recovers may list it again.
	 */
	private static final long DEPARTURE_RETENTION_NANOS = TimeUnit.MINUTES.toNanos(10);

	private final UpstreamLimits limits;

	private final Map<String, Departure> departures = new HashMap<>();

	/**
	 * Creates an instance without notices.
	 * @param share divides a limit among the entries
	 */
	public UpstreamNotices(LimitShare share) {
		this.limits = new UpstreamLimits(share);
	}

	/**
	 * Records the notice of a response.
	 * @param upstream the upstream that sent the response
	 * @param notice the notice
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void received(UpstreamRecord upstream, UpstreamNotice notice, long nowNanos) {
		this.limits.named(upstream.id(), notice.requestsPerSecond(), nowNanos);
		if (notice.leaving() && !leaving(upstream)) {
			logger.info("event=upstream-leaving upstream={} source=response", upstream.id());
			this.departures.put(upstream.id(), new Departure(upstream.born(), nowNanos));
		}
	}

	private boolean leaving(UpstreamRecord upstream) {
		Departure departure = this.departures.get(upstream.id());
		return departure != null && departure.born() == upstream.born();
	}

	/**
	 * Returns the upstreams to which a request may be sent now.
	 * @param candidates the upstreams to choose from
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return those whose notices permit it
	 */
	public List<UpstreamRecord> allowed(List<UpstreamRecord> candidates, long nowNanos) {
		List<UpstreamRecord> accepting = this.departures.isEmpty() ? candidates
				: candidates.stream().filter(this::accepts).toList();
		return this.limits.allowed(accepting, nowNanos);
	}

	/**
	 * Returns whether an upstream that was chosen for a request still accepts it.
	 * @param upstream the upstream
	 * @return whether it has not announced to leave in its present lifetime
	 */
	public boolean accepts(UpstreamRecord upstream) {
		return !leaving(upstream);
	}

	/**
	 * Records that an upstream was chosen for a request.
	 * @param id the upstream's identifier
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void sent(String id, long nowNanos) {
		this.limits.sent(id, nowNanos);
	}

	/**
	 * Discards the notices of upstreams that are no longer listed.
	 * @param listed the identifiers of the listed upstreams
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void retain(Set<String> listed, long nowNanos) {
		this.limits.retain(listed);
		this.departures.replaceAll((id, departure) -> listed.contains(id) ? departure.seen(nowNanos) : departure);
		this.departures.values()
			.removeIf((departure) -> nowNanos - departure.lastListedNanos() > DEPARTURE_RETENTION_NANOS);
	}

	/**
	 * The announcement of an upstream that it leaves.
	 *
	 * @param born the start of the lifetime that ends, as the upstream states it
	 * @param lastListedNanos the time at which the upstream was last listed
	 */
	private record Departure(long born, long lastListedNanos) {

		Departure seen(long nowNanos) {
			return new Departure(this.born, nowNanos);
		}

	}

}
