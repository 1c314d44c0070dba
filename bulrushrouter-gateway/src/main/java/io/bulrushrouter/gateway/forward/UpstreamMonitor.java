package io.bulrushrouter.gateway.forward;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.gateway.source.UpstreamRecord;
import io.bulrushrouter.gateway.upstream.ResponsivenessDetector;
import io.bulrushrouter.gateway.upstream.UpstreamSelector;
import io.bulrushrouter.kernel.TimeSource;
import io.bulrushrouter.kernel.Verdict;

/**
 * Watches the upstreams that owe responses, probes silent ones and tells the selector and
 * the waiting requests which of them are unresponsive. Accessed on the event loop only.
 */
final class UpstreamMonitor {

	private static final Logger logger = LoggerFactory.getLogger(UpstreamMonitor.class);

	private static final long TICK_MILLIS = 100;

	/**
	 * Interval between two ticks above which this process was suspended or busy and may
	 * not have read what upstreams sent meanwhile.
	 */
	private static final long MAX_TICK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	private final EventLoop loop;

	private final TimeSource clock;

	private final UpstreamConnectionPool pool;

	private final UpstreamSelector selector;

	/**
	 * Silence of a cold upstream after which it is probed. It is slow, and its silence is
	 * not yet a sign that it stopped.
	 */
	private static final long COLD_SILENCE_MILLIS = 2_000;

	private final Function<UpstreamRecord, String> probePath;

	private final Predicate<UpstreamRecord> cold;

	private final Consumer<UpstreamRecord> onInterrupted;

	private final BiConsumer<UpstreamRecord, HttpResponse> onProbeResponse;

	private final Map<String, Watched> watched = new HashMap<>();

	private boolean ticking;

	private long lastTickNanos;

	UpstreamMonitor(EventLoop loop, TimeSource clock, UpstreamConnectionPool pool, UpstreamSelector selector,
			Function<UpstreamRecord, String> probePath, BiConsumer<UpstreamRecord, HttpResponse> onProbeResponse,
			Predicate<UpstreamRecord> cold, Consumer<UpstreamRecord> onInterrupted) {
		this.loop = loop;
		this.clock = clock;
		this.pool = pool;
		this.selector = selector;
		this.probePath = probePath;
		this.cold = cold;
		this.onInterrupted = onInterrupted;
		this.onProbeResponse = onProbeResponse;
	}

	/**
	 * Records that a request was sent to an upstream.
	 * @param upstream the upstream
	 * @param onUnresponsive runs if the upstream becomes unresponsive before the request
	 * has ended
	 */
	void requestSent(UpstreamRecord upstream, Runnable onUnresponsive) {
		Watched target = this.watched.computeIfAbsent(upstream.id(), (id) -> new Watched(upstream));
		target.upstream = upstream;
		target.detector.requestSent(this.clock.nanos());
		target.waiting.add(onUnresponsive);
		if (!this.ticking) {
			this.ticking = true;
			this.lastTickNanos = this.clock.nanos();
			scheduleTick();
		}
	}

	/**
	 * Records that a request no longer waits for its upstream.
	 * @param id the upstream's identifier
	 * @param onUnresponsive the callback that the request was sent with
	 */
	void requestEnded(String id, Runnable onUnresponsive) {
		Watched target = this.watched.get(id);
		if (target != null && target.waiting.remove(onUnresponsive)) {
			target.detector.requestEnded();
		}
	}

	/**
	 * Records that an upstream sent a part of a response.
	 * @param id the upstream's identifier
	 */
	void heard(String id) {
		Watched target = this.watched.get(id);
		if (target != null) {
			target.heard();
		}
	}

	/**
	 * Forgets upstreams that are no longer listed, once no request waits for them.
	 * @param listed the identifiers of the listed upstreams
	 */
	void retain(Set<String> listed) {
		this.watched.values().removeIf((target) -> {
			boolean obsolete = !listed.contains(target.upstream.id()) && target.waiting.isEmpty();
			if (obsolete) {
				target.closeProbe();
			}
			return obsolete;
		});
	}

	private void scheduleTick() {
		this.loop.schedule(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void tick() {
		long nowNanos = this.clock.nanos();
		boolean late = nowNanos - this.lastTickNanos > MAX_TICK_INTERVAL_NANOS;
		this.lastTickNanos = nowNanos;
		List.copyOf(this.watched.values()).forEach((target) -> {
			if (late) {
				target.detector.restart(nowNanos);
			}
			else {
				target.poll(nowNanos);
			}
		});
		this.ticking = this.watched.values().stream().anyMatch((target) -> !target.detector.idle());
		if (this.ticking) {
			scheduleTick();
		}
	}

	/**
	 * An upstream with the requests that wait for it.
	 */
	private final class Watched {

		private final ResponsivenessDetector detector = new ResponsivenessDetector();

		private final Set<Runnable> waiting = new LinkedHashSet<>();

		private UpstreamRecord upstream;

		private UpstreamConnection probe;

		private int probes;

		private Watched(UpstreamRecord upstream) {
			this.upstream = upstream;
		}

		private void poll(long nowNanos) {
			if (!this.detector.unresponsive() && this.detector.silentMillis(nowNanos) < COLD_SILENCE_MILLIS
					&& UpstreamMonitor.this.cold.test(this.upstream)) {
				return;
			}
			switch (this.detector.poll(nowNanos)) {
				case PROBE -> sendProbe();
				case DECLARE_UNRESPONSIVE -> declareUnresponsive(nowNanos);
				case NONE -> {
				}
			}
		}

		private void declareUnresponsive(long nowNanos) {
			logger.warn("event=upstream-unresponsive upstream={} silent-ms={} waiting-requests={}", this.upstream.id(),
					this.detector.silentMillis(nowNanos), this.waiting.size());
			UpstreamMonitor.this.selector.responsive(this.upstream.id(), false);
			UpstreamMonitor.this.onInterrupted.accept(this.upstream);
			List.copyOf(this.waiting).forEach(Runnable::run);
		}

		private void heard() {
			long nowNanos = UpstreamMonitor.this.clock.nanos();
			if (this.detector.unresponsive()) {
				logger.info("event=upstream-responsive upstream={} silent-ms={}", this.upstream.id(),
						this.detector.silentMillis(nowNanos));
				UpstreamMonitor.this.selector.responsive(this.upstream.id(), true);
				UpstreamMonitor.this.onInterrupted.accept(this.upstream);
			}
			this.detector.heard(nowNanos);
		}

		private void sendProbe() {
			closeProbe();
			int number = ++this.probes;
			UpstreamMonitor.this.pool.acquire(this.upstream, Optional.empty(), (connection) -> {
				if (number != this.probes) {
					connection.abandon();
					return;
				}
				this.probe = connection;
				String path = UpstreamMonitor.this.probePath.apply(this.upstream);
				connection.send(ProbeRequest.of(this.upstream, path), Optional.empty(),
						new ProbeResponseHandler(this, UpstreamMonitor.this.onProbeResponse));
			}, (reason) -> logger.info("event=probe-failed upstream={} reason=\"{}\"", this.upstream.id(), reason));
		}

		private void closeProbe() {
			if (this.probe != null) {
				this.probe.abandon();
				this.probe = null;
			}
		}

	}

	/**
	 * Takes any response to a probe as a sign of life.
	 *
	 * @param target the probed upstream
	 * @param onResponse receives the head of the response
	 */
	private record ProbeResponseHandler(Watched target,
			BiConsumer<UpstreamRecord, HttpResponse> onResponse) implements ResponseHandler {

		@Override
		public void onHead(HttpResponse head) {
			this.target.heard();
			this.onResponse.accept(this.target.upstream, head);
			this.target.closeProbe();
		}

		@Override
		public void onContent(ByteBuf part) {
			part.release();
		}

		@Override
		public void onEnd() {
			// The head was sign enough.
		}

		@Override
		public void onFailure(Verdict verdict, String detail) {
			logger.info("event=probe-failed upstream={} reason=\"{}\"", this.target.upstream.id(), detail);
		}

	}

}
