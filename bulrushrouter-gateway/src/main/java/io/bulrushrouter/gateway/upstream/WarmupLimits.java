package io.bulrushrouter.gateway.upstream;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
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
import io.bulrushrouter.gateway.upstream.UpstreamDirectory.Origin;

/**
 * The cold upstreams and the rate at which this entry may send requests to them. An
 * upstream is cold if its registration or a health response says so. It is assumed to be
 * cold, until a health response says more, if it is new in the list, has another
 * incarnation, or was unreachable or unresponsive. Not thread-safe.
 */
public final class WarmupLimits {

	private static final Logger logger = LoggerFactory.getLogger(WarmupLimits.class);

	/**
	 * Spread of the times at which entries end the limit of an upstream that has become
	 * warm, so that the rate rises over a second and not at once.
	 */
	private static final long END_SPREAD_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final LimitShare share;

	private final RequestSpacing spacing;

	private final Function<String, Optional<WarmupSpec>> specs;

	private final RandomGenerator random;

	private final Map<String, Registration> registrations = new HashMap<>();

	private final Map<String, Cold> cold = new HashMap<>();

	/**
	 * Creates an instance that knows no upstreams.
	 * @param share divides a limit among the entries
	 * @param specs returns how the upstreams of a service warm up, or empty if they are
	 * never cold
	 * @param random spreads the entries' requests and the end of a limit
	 */
	public WarmupLimits(LimitShare share, Function<String, Optional<WarmupSpec>> specs, RandomGenerator random) {
		this.share = share;
		this.spacing = new RequestSpacing(share);
		this.specs = specs;
		this.random = random;
	}

	/**
	 * Records the registration of an upstream.
	 * @param upstream the upstream
	 * @param origin where the registration was read
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void registered(UpstreamRecord upstream, Origin origin, long nowNanos) {
		Registration registration = new Registration(upstream.incarnation(), upstream.coldMillis());
		Registration before = this.registrations.put(upstream.id(), registration);
		boolean started = before == null || before.incarnation() != registration.incarnation();
		if (upstream.coldMillis() > 0 && registration.equals(before)) {
			// Listed again; the time counts from when it was read first.
			return;
		}
		Cold known = this.cold.get(upstream.id());
		if (upstream.coldMillis() > 0) {
			// What an upstream said itself, and what this entry saw, may be newer than a
			// registration of the same incarnation.
			long endNanos = statedEnd(upstream.coldMillis(), nowNanos);
			if (started || known == null || known.source() == Source.REGISTRATION || endsBefore(known, endNanos)) {
				become(upstream, Source.REGISTRATION, endNanos, nowNanos);
			}
		}
		else if (started && origin != Origin.FIRST_LIST) {
			become(upstream, Source.ASSUMPTION, nowNanos, nowNanos);
		}
		else if (origin != Origin.COPY && known != null && known.source() == Source.REGISTRATION) {
			warm(upstream.id(), "registration");
		}
	}

	// An upstream may become cold again before the time that it stated first is over.
	private boolean endsBefore(Cold known, long endNanos) {
		return spec(known.upstream()).filter((spec) -> endNanos(known, spec) < endNanos).isPresent();
	}

	/**
	 * Records what an upstream said in a response about the time for which it is cold.
	 * @param upstream the upstream
	 * @param coldTime the time for which it stays cold, 0 if it is warm
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void stated(UpstreamRecord upstream, Duration coldTime, long nowNanos) {
		if (coldTime.isZero()) {
			warm(upstream.id(), "response");
		}
		else {
			become(upstream, Source.RESPONSE, statedEnd(coldTime.toMillis(), nowNanos), nowNanos);
		}
	}

	private long statedEnd(long coldMillis, long nowNanos) {
		return nowNanos + TimeUnit.MILLISECONDS.toNanos(coldMillis)
				+ (long) (this.random.nextDouble() * END_SPREAD_NANOS);
	}

	/**
	 * Records that an upstream was unreachable or unresponsive, or responds again after
	 * that. It may have started anew.
	 * @param upstream the upstream
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void interrupted(UpstreamRecord upstream, long nowNanos) {
		if (spec(upstream).isPresent()) {
			become(upstream, Source.ASSUMPTION, nowNanos, nowNanos);
		}
	}

	private void become(UpstreamRecord upstream, Source source, long nanos, long nowNanos) {
		Cold before = this.cold.put(upstream.id(), new Cold(upstream, source, nanos));
		Optional<WarmupSpec> spec = spec(upstream);
		if (spec.isPresent() && (before == null || before.source() != source)) {
			double rate = spec.get().requestsPerSecond();
			logger.info("event=upstream-cold upstream={} source={} millis={} requests-per-second={} share={}",
					upstream.id(), source.name().toLowerCase(Locale.ROOT),
					TimeUnit.NANOSECONDS.toMillis(endNanos(this.cold.get(upstream.id()), spec.get()) - nowNanos), rate,
					this.spacing.share(upstream.id(), rate));
		}
	}

	private void warm(String id, String reason) {
		this.spacing.lift(id);
		if (this.cold.remove(id) != null) {
			logger.info("event=upstream-warm upstream={} reason={}", id, reason);
		}
	}

	/**
	 * Returns whether an upstream is cold.
	 * @param upstream the upstream
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return whether it is cold, or assumed to be
	 */
	public boolean cold(UpstreamRecord upstream, long nowNanos) {
		Cold known = this.cold.get(upstream.id());
		if (known == null) {
			return false;
		}
		Optional<WarmupSpec> spec = spec(upstream);
		if (spec.isEmpty()) {
			return false;
		}
		if (nowNanos - endNanos(known, spec.get()) >= 0) {
			warm(upstream.id(), "time");
			return false;
		}
		double rate = spec.get().requestsPerSecond();
		if (this.spacing.limit(upstream.id()).orElse(-1) != rate) {
			// An entry that is not to send regularly waits for a whole interval.
			double phase = this.share.sends(upstream.id(), rate) ? this.random.nextDouble() : 1;
			this.spacing.limit(upstream.id(), rate, phase, nowNanos);
		}
		return true;
	}

	private static long endNanos(Cold known, WarmupSpec spec) {
		return (known.source() == Source.ASSUMPTION) ? known.nanos() + spec.duration().toNanos() : known.nanos();
	}

	private Optional<WarmupSpec> spec(UpstreamRecord upstream) {
		return this.specs.apply(upstream.service());
	}

	/**
	 * Returns the upstreams to which a request may be sent now.
	 * @param candidates the upstreams to choose from
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the warm ones and the cold ones with room for a request of this entry
	 */
	public List<UpstreamRecord> allowed(List<UpstreamRecord> candidates, long nowNanos) {
		if (this.cold.isEmpty()) {
			return candidates;
		}
		return candidates.stream().filter((candidate) -> waitNanos(candidate, nowNanos) == 0).toList();
	}

	/**
	 * Returns the warm ones of several upstreams.
	 * @param candidates the upstreams
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return those that are not cold
	 */
	public List<UpstreamRecord> warm(List<UpstreamRecord> candidates, long nowNanos) {
		if (this.cold.isEmpty()) {
			return candidates;
		}
		return candidates.stream().filter((candidate) -> !cold(candidate, nowNanos)).toList();
	}

	/**
	 * Returns the time until an upstream has room for a request of this entry.
	 * @param upstream the upstream
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the time in nanoseconds, 0 if it is warm or has room
	 */
	public long waitNanos(UpstreamRecord upstream, long nowNanos) {
		return cold(upstream, nowNanos) ? this.spacing.waitNanos(upstream.id(), nowNanos) : 0;
	}

	/**
	 * Returns whether a request for which an upstream was chosen may still be sent. While
	 * it was being connected, many requests may have been chosen for it as a warm one.
	 * @param upstream the upstream
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return whether it is warm, or a request was chosen for it as a cold one
	 */
	public boolean accepts(UpstreamRecord upstream, long nowNanos) {
		return !cold(upstream, nowNanos) || this.spacing.used(upstream.id());
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
	 * Returns the upstreams that are only assumed to be cold.
	 * @return the upstreams, whose health responses say whether they are
	 */
	public List<UpstreamRecord> assumed() {
		return this.cold.values()
			.stream()
			.filter((known) -> known.source() == Source.ASSUMPTION)
			.map(Cold::upstream)
			.toList();
	}

	/**
	 * Returns whether an upstream is only assumed to be cold.
	 * @param upstream the upstream
	 * @return whether neither its registration nor a response says that it is
	 */
	public boolean assumed(UpstreamRecord upstream) {
		Cold known = this.cold.get(upstream.id());
		return known != null && known.source() == Source.ASSUMPTION && spec(upstream).isPresent();
	}

	/**
	 * Returns the number of cold upstreams.
	 * @return the number, including those assumed to be cold
	 */
	public int size() {
		return this.cold.size();
	}

	/**
	 * Discards what is known of upstreams that are no longer listed, and ends the limits
	 * of those that have become warm.
	 * @param listed the identifiers of the listed upstreams
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	public void retain(Set<String> listed, long nowNanos) {
		this.registrations.keySet().retainAll(listed);
		this.cold.keySet().retainAll(listed);
		this.spacing.retain(listed);
		List.copyOf(this.cold.values()).forEach((known) -> {
			if (spec(known.upstream()).isEmpty() && nowNanos - known.nanos() >= 0) {
				warm(known.upstream().id(), "service");
			}
			else {
				cold(known.upstream(), nowNanos);
			}
		});
	}

	/** How this entry knows that an upstream is cold. */
	private enum Source {

		REGISTRATION, RESPONSE, ASSUMPTION

	}

	/**
	 * What the last registration of an upstream said.
	 *
	 * @param incarnation the incarnation
	 * @param coldMillis how long it stays cold, in milliseconds
	 */
	private record Registration(long incarnation, long coldMillis) {
	}

	/**
	 * A cold upstream.
	 *
	 * @param upstream the upstream
	 * @param source how this entry knows
	 * @param nanos the time from which it is assumed to be cold, or until which it said
	 * it is
	 */
	private record Cold(UpstreamRecord upstream, Source source, long nanos) {
	}

}
