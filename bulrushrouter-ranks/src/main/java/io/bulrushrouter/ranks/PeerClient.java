package io.bulrushrouter.ranks;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;

import io.bulrushrouter.experts.live.OrderResult;
import io.bulrushrouter.experts.live.RankOrder;

/**
 * Sends requests to the sidecar of another rank. A request that is not answered in time
 * completes without a response, and the connection is closed.
 */
final class PeerClient implements AutoCloseable {

	/**
	 * Longer than a peer waits for its engine; otherwise a peer answers within
	 * milliseconds.
	 */
	private static final long RESPONSE_TIMEOUT_MILLIS = 400;

	private final EventLoop loop;

	private final InetSocketAddress address;

	private final Map<Long, CompletableFuture<Optional<PeerMessage>>> inFlight = new HashMap<>();

	private Channel channel;

	private ChannelFuture connecting;

	private long lastId;

	PeerClient(EventLoop loop, InetSocketAddress address) {
		this.loop = loop;
		this.address = address;
	}

	/**
	 * Requests a report.
	 * @param withCounts whether the report includes the expert counts
	 * @return the response, which contains no report if the engine did not answer or is
	 * in no group, or empty if the sidecar did not answer
	 */
	CompletionStage<Optional<PeerMessage.ReportResponse>> report(boolean withCounts) {
		return send(new PeerMessage.ReportRequest(++this.lastId, withCounts))
			.thenApply((response) -> response.filter(PeerMessage.ReportResponse.class::isInstance)
				.map(PeerMessage.ReportResponse.class::cast));
	}

	CompletionStage<OrderResult> order(RankOrder order, long epoch, long fence) {
		return send(new PeerMessage.OrderRequest(++this.lastId, epoch, fence, order)).thenApply((response) -> response
			.map((message) -> (message instanceof PeerMessage.OrderResponse ordered) ? ordered.result()
					: OrderResult.UNKNOWN)
			.orElse(OrderResult.UNKNOWN));
	}

	private CompletionStage<Optional<PeerMessage>> send(PeerMessage request) {
		CompletableFuture<Optional<PeerMessage>> response = new CompletableFuture<>();
		this.inFlight.put(request.id(), response);
		this.loop.schedule(() -> handleTimeout(request.id()), RESPONSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		if (this.channel != null && this.channel.isActive()) {
			PeerChannels.send(this.channel, request);
			return response;
		}
		connect().addListener((ChannelFuture connected) -> {
			if (connected.isSuccess()) {
				PeerChannels.send(connected.channel(), request);
			}
			else {
				complete(request.id(), Optional.empty());
			}
		});
		return response;
	}

	private ChannelFuture connect() {
		if (this.connecting != null) {
			return this.connecting;
		}
		ChannelFuture started = PeerChannels
			.client(this.loop, (source, message) -> complete(message.id(), Optional.of(message)))
			.connect(this.address);
		this.connecting = started;
		started.addListener((done) -> {
			this.channel = done.isSuccess() ? started.channel() : null;
			this.connecting = null;
		});
		return started;
	}

	private void handleTimeout(long id) {
		if (this.inFlight.containsKey(id)) {
			complete(id, Optional.empty());
			if (this.channel != null) {
				this.channel.close();
				this.channel = null;
			}
		}
	}

	private void complete(long id, Optional<PeerMessage> response) {
		CompletableFuture<Optional<PeerMessage>> pending = this.inFlight.remove(id);
		if (pending != null) {
			pending.complete(response);
		}
	}

	@Override
	public void close() {
		if (this.channel != null) {
			this.channel.close();
		}
	}

}
