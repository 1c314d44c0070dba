package io.bulrushrouter.ranks;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.experts.live.OrderResult;
import io.bulrushrouter.experts.live.RankOrder;
import io.bulrushrouter.experts.live.RankStatus;
import io.bulrushrouter.gateway.source.UpstreamRecord;
import io.bulrushrouter.kernel.TimeSource;

/**
 * A connection to another rank: through its sidecar, which is cheap, or directly to its
 * engine while the sidecar does not answer.
 */
final class RankConnection implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(RankConnection.class);

	/**
	 * Time for which the engine is accessed directly after its sidecar did not answer: a
	 * sidecar restarts within about this time.
	 */
	private static final long DIRECT_ACCESS_MILLIS = 2_000;

	private final InetSocketAddress address;

	private final String dataCentre;

	private final PeerClient peer;

	private final Supplier<RankEngine> engineConnector;

	private final ScheduledExecutorService loop;

	private final TimeSource clock;

	private RankEngine engine;

	private RankReporter reporter;

	private OptionalLong peerTimeoutNanos = OptionalLong.empty();

	/** The last report that contained experts. */
	private Optional<RankReport> lastReport = Optional.empty();

	RankConnection(UpstreamRecord upstream, PeerClient peer, Supplier<RankEngine> engineConnector,
			ScheduledExecutorService loop, TimeSource clock) {
		this.loop = loop;
		this.address = upstream.address();
		this.dataCentre = upstream.dataCentre();
		this.peer = peer;
		this.engineConnector = engineConnector;
		this.clock = clock;
	}

	InetAddress instance() {
		return this.address.getAddress();
	}

	String dataCentre() {
		return this.dataCentre;
	}

	/**
	 * Requests a report.
	 * @return the report, or empty if neither the sidecar nor the engine provided one
	 */
	CompletionStage<Optional<RankReport>> report() {
		if (usesDirectAccess()) {
			return reporter().report();
		}
		long knownEpoch = this.lastReport.map((report) -> report.status().epoch()).orElse(-1L);
		long knownMap = this.lastReport.map((report) -> report.status().map()).orElse(-1L);
		return this.peer.status(knownEpoch, knownMap).thenCompose((answer) -> {
			if (answer.isPresent()) {
				return CompletableFuture.completedFuture(combine(answer.get()));
			}
			logger.info("event=rank-sidecar-unresponsive peer={} action=\"accessing its engine directly\"",
					this.address);
			this.peerTimeoutNanos = OptionalLong.of(this.clock.nanos());
			return reporter().report();
		});
	}

	// The sidecar leaves out experts that were known when the request was sent.
	private Optional<RankReport> combine(PeerMessage.StatusResponse response) {
		if (response.status().isEmpty()) {
			return Optional.empty();
		}
		RankStatus status = response.status().get();
		Optional<int[][]> experts = response.experts()
			.or(() -> this.lastReport.filter((report) -> sameMap(report.status(), status)).map(RankReport::experts));
		Optional<RankReport> report = experts.map((known) -> new RankReport(status, known));
		this.lastReport = report.or(() -> this.lastReport);
		return report;
	}

	private static boolean sameMap(RankStatus one, RankStatus other) {
		return one.epoch() == other.epoch() && one.map() == other.map();
	}

	/**
	 * Requests the recent choices of this rank and of further ranks, added up. Only
	 * sidecars provide them.
	 * @param members the connections to the further ranks
	 * @return the choices, or empty if the sidecar did not answer or has none
	 */
	CompletionStage<Optional<EncodedSample>> choices(List<RankConnection> members) {
		return this.peer.choices(members.stream().map(RankConnection::instance).toList());
	}

	/**
	 * Sends an order by the same route as the last report: to the sidecar or directly to
	 * the engine.
	 * @param order the order
	 * @param epoch the epoch in which the order is valid
	 * @param fence the fencing token of the sender
	 * @param copies the number of ranks that the order is sent to at the same time
	 * @return the result
	 */
	CompletionStage<OrderResult> order(RankOrder order, long epoch, long fence, int copies) {
		return usesDirectAccess() ? engine().order(order, epoch, fence)
				: this.peer.order(EncodedOrder.of(order), epoch, fence, List.of(), copies)
					.thenApply((results) -> results.get(0));
	}

	/**
	 * Sends an order to the engine, not through its sidecar.
	 * @param order the order
	 * @param epoch the epoch in which the order is valid
	 * @param fence the fencing token of the sender
	 * @return the result
	 */
	CompletionStage<OrderResult> orderDirectly(RankOrder order, long epoch, long fence) {
		return new RetryingOrderSender(engine(), this.loop).send(order, epoch, fence);
	}

	/**
	 * Sends an order to this rank and, through its sidecar, to further ranks.
	 * @param order the order
	 * @param epoch the epoch in which the order is valid
	 * @param fence the fencing token of the sender
	 * @param members the connections to the further ranks
	 * @param copies the number of sidecars that the order is sent to at the same time
	 * @return the result of this rank, then those of the members
	 */
	CompletionStage<List<OrderResult>> relayOrder(EncodedOrder order, long epoch, long fence,
			List<RankConnection> members, int copies) {
		return this.peer.order(order, epoch, fence, members.stream().map(RankConnection::instance).toList(), copies);
	}

	/**
	 * Returns whether the engine is accessed directly since its sidecar did not answer.
	 * @return whether the sidecar can relay nothing at the moment
	 */
	boolean usesDirectAccess() {
		return this.peerTimeoutNanos.isPresent() && this.clock.nanos()
				- this.peerTimeoutNanos.getAsLong() < TimeUnit.MILLISECONDS.toNanos(DIRECT_ACCESS_MILLIS);
	}

	private RankEngine engine() {
		if (this.engine == null) {
			this.engine = this.engineConnector.get();
			this.reporter = new RankReporter(this.engine, this.clock);
		}
		return this.engine;
	}

	private RankReporter reporter() {
		engine();
		return this.reporter;
	}

	@Override
	public void close() {
		this.peer.close();
		if (this.engine != null) {
			this.engine.close();
		}
	}

}
