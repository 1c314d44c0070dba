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
 * The way to another rank: through the process beside it, which is cheap, or straight to
 * its engine while that process does not answer.
 */
final class RankConnection implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(RankConnection.class);

	/** A process that restarts is back within about this time. */
	private static final long DIRECT_ACCESS_MILLIS = 2_000;

	private final String name;

	private final PeerClient peer;

	private final Supplier<RankEngine> engineConnector;

	private final TimeSource clock;

	private RankEngine engine;

	private RankReporter reporter;

	private OptionalLong peerTimeoutNanos = OptionalLong.empty();

	RankConnection(String name, PeerClient peer, Supplier<RankEngine> connect, TimeSource clock) {
		this.name = name;
		this.peer = peer;
		this.engineConnector = connect;
		this.clock = clock;
	}

	/**
	 * Asks for a report with counts, which only the process beside the rank is asked for.
	 * @return the report, or empty if there was no answer
	 */
	CompletionStage<Optional<RankReport>> reportWithCounts() {
		return this.peer.report(true).thenApply((answer) -> answer.flatMap(PeerMessage.ReportResponse::report));
	}

	/**
	 * Asks for a report without counts.
	 * @return the report, or empty if neither the process nor the engine has one
	 */
	CompletionStage<Optional<RankReport>> report() {
		if (usesDirectAccess()) {
			return reporter().report(false);
		}
		return this.peer.report(false).thenCompose((answer) -> {
			if (answer.isPresent()) {
				return CompletableFuture.completedFuture(answer.get().report());
			}
			logger.info("event=rank-process-silent peer={} action=\"asking its engine\"", this.name);
			this.peerTimeoutNanos = OptionalLong.of(this.clock.nanos());
			return reporter().report(false);
		});
	}

	/**
	 * Gives an order, the way that the last report came.
	 * @param order the order
	 * @param epoch the epoch that it is for
	 * @param fence the fencing token
	 * @return what came of it
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
