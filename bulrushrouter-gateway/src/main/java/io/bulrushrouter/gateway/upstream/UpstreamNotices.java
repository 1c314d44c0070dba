package io.bulrushrouter.gateway.upstream;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.random.RandomGenerator;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.gateway.config.WarmupSpec;
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

	/**
	 * The same for an upstream that states no incarnation: if it is listed again later,
	 * it has restarted.
	 */
	private static final long UNKNOWN_INCARNATION_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(10);

	/**
	 * Share of the time for which an upstream wants no requests by which entries return
	 * later, each by another part of it, so that they do not return together.
	 */
	private static final double RETURN_SPREAD_RATIO = 0.1;

	/** Upper bound of that spread. */
	private static final long MAX_RETURN_SPREAD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/**
	 * Longest time after which a caller may try again because of cold upstreams: another
	 * entry may have room sooner than this one.
	 */
	private static final long MAX_WARMUP_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final UpstreamLimits limits;

	private final WarmupLimits warmup;

	private final RandomGenerator random;

	private final Map<String, Long> returnNanos = new HashMap<>();

	private final Map<String, Departure> departures = new HashMap<>();

	/**
	 * Creates an instance without notices.
	 * @param share divides a limit among the entries
	 * @param random spreads the return to upstreams that refused requests for a time
	 */
	public UpstreamNotices(LimitShare share, RandomGenerator random) {
		this(share, random, (service) -> Optional.empty());
	}

	/**
	 * Creates an instance without notices.
	 * @param share divides a limit among the entries
	 * @param random spreads the return to upstreams that refused requests for a time
	 * @param warmups returns how the upstreams of a service warm up
	 */
	public UpstreamNotices(LimitShare share, RandomGenerator random, Function<String, Optional<WarmupSpec>> warmups) {
		this.limits = new UpstreamLimits(share);
		this.warmup = new WarmupLimits(share, warmups, random);
		this.random = random;
	}

	/**
	 * Returns the limits of cold upstreams.
	 * @return the limits
	 */
	public WarmupLimits warmup() {
		return this.warmup;
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
			this.departures.put(upstream.id(), new Departure(upstream.incarnation(), nowNanos));
		}
		notice.coldTime().ifPresent((coldTime) -> this.warmup.stated(upstream, coldTime, nowNanos));
		notice.retryAfter().ifPresent((pause) -> pause(upstream.id(), pause, nowNanos));
	}

	// The longest of several pauses applies.
	private void pause(String id, Duration pause, long nowNanos) {
		long spreadNanos = Math.min(MAX_RETURN_SPREAD_NANOS, (long) (RETURN_SPREAD_RATIO * pause.toNanos()));
		long returns = nowNanos + pause.toNanos() + (long) (spreadNanos * this.random.nextDouble());
		if (pausedNanos(id, nowNanos) < returns - nowNanos) {
			logger.info("event=upstream-paused upstream={} millis={}", id, pause.toMillis());
			this.returnNanos.put(id, returns);
		}
	}

	private long pausedNanos(String id, long nowNanos) {
		Long returns = this.returnNanos.get(id);
		return (returns != null) ? Math.max(0, returns - nowNanos) : 0;
	}

	/**
	 * Returns whether an upstream wants no requests from this entry for a time.
	 * @param id the upstream's identifier
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return whether it has refused a request for a time that is not over
	 */
	public boolean paused(String id, long nowNanos) {
		return pausedNanos(id, nowNanos) > 0;
	}

	/**
	 * Returns how long all of several upstreams want no requests.
	 * @param candidates the upstreams
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the time until the first of them returns, in milliseconds; 0 if one of them
	 * takes requests, or if there are none
	 */
	public long pausedMillis(List<UpstreamRecord> candidates, long nowNanos) {
		long nanos = candidates.stream()
			.mapToLong((candidate) -> Math.max(pausedNanos(candidate.id(), nowNanos),
					Math.min(MAX_WARMUP_WAIT_NANOS, this.warmup.waitNanos(candidate, nowNanos))))
			.min()
			.orElse(0);
		return TimeUnit.NANOSECONDS.toMillis(nanos);
	}

	/**
	 * Returns whether an upstream has announced to leave in its present incarnation.
	 * @param upstream the upstream
	 * @return whether it leaves
	 */
	public boolean leaving(UpstreamRecord upstream) {
		Departure departure = this.departures.get(upstream.id());
		return departure != null && departure.incarnation() == upstream.incarnation();
	}

	/**
	 * Returns the upstreams to which a request may be sent now.
	 * @param candidates the upstreams to choose from
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return those whose notices permit it
	 */
	public List<UpstreamRecord> allowed(List<UpstreamRecord> candidates, long nowNanos) {
		boolean noNotices = this.departures.isEmpty() && this.returnNanos.isEmpty();
		List<UpstreamRecord> accepting = noNotices ? candidates
				: candidates.stream().filter((candidate) -> accepts(candidate, nowNanos)).toList();
		return this.warmup.allowed(this.limits.allowed(accepting, nowNanos), nowNanos);
	}

	/**
	 * Returns whether an upstream that was chosen for a request still accepts it.
	 * @param upstream the upstream
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return whether it has neither announced to leave in its present incarnation nor
	 * refused requests for a time that is not over, nor has become cold meanwhile
	 */
	public boolean accepts(UpstreamRecord upstream, long nowNanos) {
		return !leaving(upstream) && !paused(upstream.id(), nowNanos) && this.warmup.accepts(upstream, nowNanos);
	}

	/**
	 * Records that an upstream was chosen for a request.
	 * @param id the upstream's identifier
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void sent(String id, long nowNanos) {
		this.limits.sent(id, nowNanos);
		this.warmup.sent(id, nowNanos);
	}

	/**
	 * Discards the notices of upstreams that are no longer listed.
	 * @param listed the identifiers of the listed upstreams
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void retain(Set<String> listed, long nowNanos) {
		this.limits.retain(listed);
		this.warmup.retain(listed, nowNanos);
		this.returnNanos.values().removeIf((returns) -> nowNanos - returns >= 0);
		this.departures.replaceAll((id, departure) -> listed.contains(id) ? departure.seen(nowNanos) : departure);
		this.departures.values().removeIf((departure) -> departure.expired(nowNanos));
	}

	/**
	 * The announcement of an upstream that it leaves.
	 *
	 * @param incarnation the start of the incarnation that ends, as the upstream states
	 * it
	 * @param lastListedNanos the time at which the upstream was last listed
	 */
	private record Departure(long incarnation, long lastListedNanos) {

		Departure seen(long nowNanos) {
			return new Departure(this.incarnation, nowNanos);
		}

		boolean expired(long nowNanos) {
			long retention = (this.incarnation == UpstreamRecord.UNKNOWN_INCARNATION)
					? UNKNOWN_INCARNATION_RETENTION_NANOS : DEPARTURE_RETENTION_NANOS;
			return nowNanos - this.lastListedNanos > retention;
		}

	}

}
