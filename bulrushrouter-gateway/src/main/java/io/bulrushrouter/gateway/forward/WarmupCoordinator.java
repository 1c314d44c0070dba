package io.bulrushrouter.gateway.forward;

import java.time.Duration;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;

import io.bulrushrouter.gateway.config.WarmupSpec;
import io.bulrushrouter.gateway.source.UpstreamRecord;
import io.bulrushrouter.gateway.upstream.UpstreamDirectory;
import io.bulrushrouter.gateway.upstream.WarmupLimits;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.TimeSource;
import io.bulrushrouter.kernel.Verdict;

/**
 * Keeps the knowledge of cold upstreams current, and delays requests that find only cold
 * ones without room. Accessed on the event loop only.
 */
final class WarmupCoordinator {

	/**
	 * Longest delay of a request that finds only cold upstreams without room. It is a
	 * small part of the objective for a first event; after it the caller does better at
	 * another entry.
	 */
	static final long MAX_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

	/**
	 * Delay of a request while a health response may still say that an upstream is warm;
	 * it takes a few milliseconds.
	 */
	private static final long PROBE_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

	/** Failures after which an upstream may have started anew. */
	private static final Set<ErrorCode> INTERRUPTIONS = EnumSet.of(ErrorCode.ENGINE_UNREACHABLE,
			ErrorCode.CONNECTION_LOST, ErrorCode.STREAM_BROKEN);

	private final EventLoop loop;

	private final TimeSource clock;

	private final UpstreamDirectory directory;

	private final WarmupLimits limits;

	private final WarmupProbes probes;

	private final Function<String, Optional<WarmupSpec>> specs;

	private final ForwardMetrics metrics;

	WarmupCoordinator(EventLoop loop, TimeSource clock, UpstreamDirectory directory, WarmupLimits limits,
			UpstreamConnectionPool pool, Function<String, Optional<WarmupSpec>> specs,
			UpstreamNoticeDecoder noticeDecoder, ForwardMetrics metrics) {
		this.loop = loop;
		this.clock = clock;
		this.directory = directory;
		this.limits = limits;
		this.specs = specs;
		this.metrics = metrics;
		this.probes = new WarmupProbes(loop, clock, pool, specs,
				(upstream, head) -> answered(noticeDecoder, upstream, head), this::probed);
		directory.onRegistration(this::registered);
		pool.onIdleClosed((id) -> directory.find(id).ifPresent(this::interrupted));
	}

	private void registered(UpstreamRecord upstream, UpstreamDirectory.Origin origin) {
		this.limits.registered(upstream, origin, this.clock.nanos());
		if (this.limits.assumed(upstream)) {
			this.probes.probe(List.of(upstream));
		}
	}

	private void answered(UpstreamNoticeDecoder decoder, UpstreamRecord upstream, HttpResponse head) {
		// A health response that names no time comes from a warm upstream.
		Duration coldTime = decoder.decode(head).coldTime().orElse(Duration.ZERO);
		this.limits.stated(upstream, coldTime, this.clock.nanos());
	}

	// The time for which an upstream stays cold counts from when it is back.
	private void probed(UpstreamRecord upstream, boolean answered) {
		if (!answered && this.directory.identifiers().contains(upstream.id())) {
			this.limits.interrupted(upstream, this.clock.nanos());
		}
		this.probes.probe(this.limits.assumed());
	}

	/**
	 * Returns whether an upstream is cold, and so may be slow.
	 * @param upstream the upstream
	 * @return whether it is cold or assumed to be
	 */
	boolean cold(UpstreamRecord upstream) {
		return this.limits.cold(upstream, this.clock.nanos());
	}

	/**
	 * Returns the path of a probe of an upstream.
	 * @param upstream the upstream
	 * @param fallback the path for upstreams that are never cold
	 * @return the path
	 */
	String probePath(UpstreamRecord upstream, String fallback) {
		return this.specs.apply(upstream.service()).map(WarmupSpec::healthPath).orElse(fallback);
	}

	/**
	 * Records the failure of an attempt. An upstream that was unreachable or whose
	 * connection was lost may be cold when it is back; one that refused the request is
	 * not affected.
	 * @param upstream the upstream
	 * @param verdict the outcome
	 */
	void attemptFailed(UpstreamRecord upstream, Verdict verdict) {
		if (verdict.failure().filter(INTERRUPTIONS::contains).isPresent()) {
			interrupted(upstream);
		}
	}

	/**
	 * Records that an upstream became unresponsive or responds again.
	 * @param upstream the upstream
	 */
	void interrupted(UpstreamRecord upstream) {
		if (this.specs.apply(upstream.service()).isPresent()) {
			this.limits.interrupted(upstream, this.clock.nanos());
			this.probes.probe(List.of(upstream));
		}
	}

	/**
	 * Delays a request if a cold upstream has room soon.
	 * @param service the service of the request
	 * @param deadlineNanos the time until which the request may be delayed
	 * @param retry runs when there is room
	 * @return whether the request is delayed; otherwise {@code retry} does not run
	 */
	boolean delay(String service, long deadlineNanos, Runnable retry) {
		long nowNanos = this.clock.nanos();
		List<UpstreamRecord> ready = this.directory.ready(service);
		long waitNanos = ready.stream()
			.mapToLong((upstream) -> waitNanos(upstream, nowNanos))
			.filter((nanos) -> nanos > 0)
			.min()
			.orElse(Long.MAX_VALUE);
		if (waitNanos == Long.MAX_VALUE) {
			return false;
		}
		boolean soon = nowNanos + waitNanos <= deadlineNanos;
		this.metrics.countColdWait(soon ? "delayed" : "refused");
		if (soon) {
			this.loop.schedule(retry, waitNanos, TimeUnit.NANOSECONDS);
		}
		return soon;
	}

	private long waitNanos(UpstreamRecord upstream, long nowNanos) {
		long nanos = this.limits.waitNanos(upstream, nowNanos);
		return this.limits.assumed(upstream) ? Math.min(PROBE_DELAY_NANOS, nanos) : nanos;
	}

	/**
	 * Probes the upstreams that are assumed to be cold, and while the store is
	 * unavailable also others.
	 * @param listed the identifiers of the listed upstreams
	 */
	void sweep(Set<String> listed) {
		this.probes.retain(listed);
		this.probes.probe(this.limits.assumed());
		if (this.directory.storeUnavailable()) {
			this.probes.probeOldest(this.directory.ready());
		}
	}

}
