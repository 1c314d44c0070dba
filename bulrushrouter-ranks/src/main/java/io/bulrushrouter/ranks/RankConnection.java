package io.bulrushrouter.ranks;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.experts.live.OrderResult;
import io.bulrushrouter.experts.live.RankOrder;
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

	private final String name;

	private final PeerClient peer;

	private final Supplier<RankEngine> engineConnector;

	private final TimeSource clock;

	private RankEngine engine;

	private RankReporter reporter;

	private OptionalLong peerTimeoutNanos = OptionalLong.empty();

	RankConnection(String name, PeerClient peer, Supplier<RankEngine> engineConnector, TimeSource clock) {
		this.name = name;
		this.peer = peer;
		this.engineConnector = engineConnector;
		this.clock = clock;
	}

	/**
	 * Requests a report with expert counts, which only the sidecar provides.
	 * @return the report, or empty if the sidecar did not answer or has none
	 */
	CompletionStage<Optional<RankReport>> reportWithCounts() {
		return this.peer.report(true).thenApply((answer) -> answer.flatMap(PeerMessage.ReportResponse::report));
	}

	/**
	 * Requests a report without expert counts.
	 * @return the report, or empty if neither the sidecar nor the engine provided one
	 */
	CompletionStage<Optional<RankReport>> report() {
		if (usesDirectAccess()) {
			return reporter().report(false);
		}
		return this.peer.report(false).thenCompose((answer) -> {
			if (answer.isPresent()) {
				return CompletableFuture.completedFuture(answer.get().report());
			}
			logger.info("event=rank-sidecar-unresponsive peer={} action=\"accessing its engine directly\"", this.name);
			this.peerTimeoutNanos = OptionalLong.of(this.clock.nanos());
			return reporter().report(false);
		});
	}

	/**
	 * Sends an order by the same route as the last report: to the sidecar or directly to
	 * the engine.
	 * @param order the order
	 * @param epoch the epoch in which the order is valid
	 * @param fence the fencing token of the sender
	 * @return the result
	 */
	CompletionStage<OrderResult> order(RankOrder order, long epoch, long fence) {
		return usesDirectAccess() ? this.engine.order(order, epoch, fence) : this.peer.order(order, epoch, fence);
	}

	private boolean usesDirectAccess() {
		return this.peerTimeoutNanos.isPresent() && this.clock.nanos()
				- this.peerTimeoutNanos.getAsLong() < TimeUnit.MILLISECONDS.toNanos(DIRECT_ACCESS_MILLIS);
	}

	private RankReporter reporter() {
		if (this.engine == null) {
			this.engine = this.engineConnector.get();
			this.reporter = new RankReporter(this.engine);
		}
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
