package io.bulrushrouter.gateway.forward;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Function;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;

import io.bulrushrouter.gateway.config.WarmupSpec;
import io.bulrushrouter.gateway.source.UpstreamRecord;
import io.bulrushrouter.kernel.TimeSource;
import io.bulrushrouter.kernel.Verdict;

/**
 * Asks upstreams for their health responses, which say whether they are cold. Accessed on
 * the event loop only.
 */
final class WarmupProbes {

	/** Limit of the probes in flight, so that a whole data centre is asked in turn. */
	private static final int MAX_IN_FLIGHT = 8;

	/** Time that an upstream has to answer; a cold one may be slow to. */
	private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

	/** Interval between the first two probes; it doubles while they fail. */
	private static final long MIN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(450);

	/** Limit of that interval, which bounds the connects to an upstream that is down. */
	private static final long MAX_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);

	/**
	 * Upstreams asked in each sweep while the store is unavailable and registrations do
	 * not arrive. Two probes per second cost little beside requests, since each of them
	 * counts against the deployment.
	 */
	private static final int PROBES_PER_SWEEP_WITHOUT_STORE = 1;

	private final EventLoop loop;

	private final TimeSource clock;

	private final UpstreamConnectionPool pool;

	private final Function<String, Optional<WarmupSpec>> specs;

	private final BiConsumer<UpstreamRecord, HttpResponse> onResponse;

	private final BiConsumer<UpstreamRecord, Boolean> onProbed;

	private final Map<String, Probe> probes = new HashMap<>();

	private int inFlight;

	/**
	 * Creates an instance without probes.
	 * @param loop the event loop
	 * @param clock the monotonic clock
	 * @param pool opens the connections
	 * @param specs returns how the upstreams of a service warm up
	 * @param onResponse receives the head of a health response
	 * @param onProbed receives whether a probe was answered
	 */
	WarmupProbes(EventLoop loop, TimeSource clock, UpstreamConnectionPool pool,
			Function<String, Optional<WarmupSpec>> specs, BiConsumer<UpstreamRecord, HttpResponse> onResponse,
			BiConsumer<UpstreamRecord, Boolean> onProbed) {
		this.loop = loop;
		this.clock = clock;
		this.pool = pool;
		this.specs = specs;
		this.onResponse = onResponse;
		this.onProbed = onProbed;
	}

	/**
	 * Probes the upstreams that are due.
	 * @param assumed the upstreams that are only assumed to be cold
	 */
	void probe(List<UpstreamRecord> assumed) {
		long nowNanos = this.clock.nanos();
		// The longest unasked one goes first, so that upstreams that are down do not keep
		// others from being asked.
		for (UpstreamRecord upstream : assumed.stream().sorted(Comparator.comparingLong(this::sentNanos)).toList()) {
			if (this.inFlight >= MAX_IN_FLIGHT) {
				return;
			}
			Probe known = this.probes.computeIfAbsent(upstream.id(), (id) -> new Probe());
			if (known.connection == null && !known.connecting
					&& (!known.sent || nowNanos - known.sentNanos >= known.intervalNanos)) {
				send(upstream, known, nowNanos);
			}
		}
	}

	/**
	 * Probes those of all upstreams that have not been asked for the longest time.
	 * @param upstreams the upstreams that this entry may send requests to
	 */
	void probeOldest(List<UpstreamRecord> upstreams) {
		probe(upstreams.stream()
			.filter((upstream) -> this.specs.apply(upstream.service()).isPresent())
			.sorted(Comparator.comparingLong(this::sentNanos))
			.limit(PROBES_PER_SWEEP_WITHOUT_STORE)
			.toList());
	}

	private long sentNanos(UpstreamRecord upstream) {
		return Optional.ofNullable(this.probes.get(upstream.id()))
			.filter((known) -> known.sent)
			.map((known) -> known.sentNanos)
			.orElse(Long.MIN_VALUE);
	}

	/**
	 * Forgets upstreams that are no longer listed.
	 * @param listed the identifiers of the listed upstreams
	 */
	void retain(Set<String> listed) {
		this.probes.entrySet()
			.removeIf((entry) -> !listed.contains(entry.getKey()) && entry.getValue().connection == null
					&& !entry.getValue().connecting);
	}

	private void send(UpstreamRecord upstream, Probe probe, long nowNanos) {
		Optional<WarmupSpec> spec = this.specs.apply(upstream.service());
		if (spec.isEmpty()) {
			return;
		}
		probe.sent = true;
		probe.sentNanos = nowNanos;
		probe.connecting = true;
		this.inFlight++;
		this.pool.acquire(upstream, Optional.empty(), (connection) -> {
			probe.connecting = false;
			probe.connection = connection;
			connection.send(ProbeRequest.of(upstream, spec.get().healthPath()), Optional.empty(),
					new ProbeResponseHandler(upstream, probe));
			this.loop.schedule(() -> {
				if (probe.connection == connection) {
					ended(upstream, probe, false);
				}
			}, TIMEOUT_NANOS, TimeUnit.NANOSECONDS);
		}, (reason) -> ended(upstream, probe, false));
	}

	private void ended(UpstreamRecord upstream, Probe probe, boolean answered) {
		this.inFlight--;
		probe.connecting = false;
		if (probe.connection != null) {
			UpstreamConnection connection = probe.connection;
			probe.connection = null;
			connection.abandon();
		}
		probe.intervalNanos = answered ? MIN_INTERVAL_NANOS : Math.min(MAX_INTERVAL_NANOS, 2 * probe.intervalNanos);
		this.onProbed.accept(upstream, answered);
	}

	/**
	 * The last probe of an upstream.
	 */
	private static final class Probe {

		private boolean sent;

		private long sentNanos;

		private long intervalNanos = MIN_INTERVAL_NANOS;

		private boolean connecting;

		private UpstreamConnection connection;

	}

	/**
	 * Ends a probe with the head of its response.
	 */
	private final class ProbeResponseHandler implements ResponseHandler {

		private final UpstreamRecord upstream;

		private final Probe probe;

		private ProbeResponseHandler(UpstreamRecord upstream, Probe probe) {
			this.upstream = upstream;
			this.probe = probe;
		}

		@Override
		public void onHead(HttpResponse head) {
			if (this.probe.connection != null) {
				WarmupProbes.this.onResponse.accept(this.upstream, head);
				ended(this.upstream, this.probe, true);
			}
		}

		@Override
		public void onContent(ByteBuf part) {
			part.release();
		}

		@Override
		public void onEnd() {
			// The head was enough.
		}

		@Override
		public void onFailure(Verdict verdict, String detail) {
			if (this.probe.connection != null) {
				ended(this.upstream, this.probe, false);
			}
		}

	}

}
