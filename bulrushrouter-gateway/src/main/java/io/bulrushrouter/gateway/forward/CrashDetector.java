package io.bulrushrouter.gateway.forward;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.gateway.quarantine.CrashEvidence;
import io.bulrushrouter.gateway.quarantine.CrashId;
import io.bulrushrouter.gateway.quarantine.Fingerprint;
import io.bulrushrouter.gateway.source.UpstreamRecord;
import io.bulrushrouter.kernel.TimeSource;

/**
 * Tells the crash of an upstream from the loss of a single connection: after a crash the
 * instance refuses connections at once, while a cut or suspended one does not respond.
 * Accessed on the event loop only.
 */
final class CrashDetector {

	private static final Logger logger = LoggerFactory.getLogger(CrashDetector.class);

	/**
	 * Delay of the check. A process that ends may close its connections before the socket
	 * that accepts new ones.
	 */
	private static final long CHECK_DELAY_MILLIS = 20;

	/** Limit of the upstreams that are checked at a time. */
	private static final int MAX_CHECKS = 64;

	private final EventLoop loop;

	private final TimeSource clock;

	private final UpstreamConnectionPool pool;

	private final CrashEvidence evidence;

	private final Map<CrashId, Set<Fingerprint>> unconfirmed = new HashMap<>();

	CrashDetector(EventLoop loop, TimeSource clock, UpstreamConnectionPool pool, CrashEvidence evidence) {
		this.loop = loop;
		this.clock = clock;
		this.pool = pool;
		this.evidence = evidence;
	}

	/**
	 * Records that the connection to an upstream was lost while a request was running.
	 * @param upstream the upstream
	 * @param fingerprints the fingerprints of the request
	 */
	void connectionLost(UpstreamRecord upstream, Collection<Fingerprint> fingerprints) {
		CrashId crash = new CrashId(upstream.id(), upstream.incarnation());
		Set<Fingerprint> running = this.unconfirmed.get(crash);
		if (running == null && this.unconfirmed.size() < MAX_CHECKS) {
			running = new LinkedHashSet<>();
			this.unconfirmed.put(crash, running);
			this.loop.schedule(() -> check(crash, upstream), CHECK_DELAY_MILLIS, TimeUnit.MILLISECONDS);
		}
		if (running != null) {
			running.addAll(fingerprints);
		}
	}

	/**
	 * Returns whether no check is in progress.
	 * @return whether all lost connections are explained
	 */
	boolean idle() {
		return this.unconfirmed.isEmpty();
	}

	private void check(CrashId crash, UpstreamRecord upstream) {
		this.pool.findListener(upstream, (state) -> {
			Set<Fingerprint> running = this.unconfirmed.remove(crash);
			logger.info("event=upstream-checked upstream={} incarnation={} state={} suspects={}", crash.upstream(),
					crash.incarnation(), state, running.stream().map(Fingerprint::text).toList());
			if (state == UpstreamConnectionPool.ListenerState.REFUSING) {
				this.evidence.crashed(crash, running, this.clock.nanos());
			}
		});
	}

}
