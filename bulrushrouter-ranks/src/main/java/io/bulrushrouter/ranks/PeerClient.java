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
 * Asks the process beside another rank. An answer that does not come in time counts as
 * none, and the connection is given up.
 */
final class PeerClient implements AutoCloseable {

	/** Longer than a peer waits for its engine; it answers in milliseconds otherwise. */
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
	 * Asks for a report.
	 * @param counts whether it is to hold the counts
	 * @return the answer, which holds no report if the engine is in no group, or empty if
	 * the process did not answer
	 */
	CompletionStage<Optional<PeerMessage.ReportResponse>> report(boolean counts) {
		return send(new PeerMessage.ReportRequest(++this.lastId, counts))
			.thenApply((answer) -> answer.filter(PeerMessage.ReportResponse.class::isInstance)
				.map(PeerMessage.ReportResponse.class::cast));
	}

	CompletionStage<OrderResult> order(RankOrder order, long epoch, long fence) {
		return send(new PeerMessage.OrderRequest(++this.lastId, epoch, fence, order)).thenApply((answer) -> answer
			.map((message) -> (message instanceof PeerMessage.OrderResponse ordered) ? ordered.result()
					: OrderResult.UNKNOWN)
			.orElse(OrderResult.UNKNOWN));
	}

	private CompletionStage<Optional<PeerMessage>> send(PeerMessage question) {
		CompletableFuture<Optional<PeerMessage>> answer = new CompletableFuture<>();
		this.inFlight.put(question.id(), answer);
		this.loop.schedule(() -> handleTimeout(question.id()), RESPONSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		if (this.channel != null && this.channel.isActive()) {
			PeerChannels.send(this.channel, question);
			return answer;
		}
		connect().addListener((ChannelFuture done) -> {
			if (done.isSuccess()) {
				PeerChannels.send(done.channel(), question);
			}
			else {
				complete(question.id(), Optional.empty());
			}
		});
		return answer;
	}

	private ChannelFuture connect() {
		if (this.connecting != null) {
			return this.connecting;
		}
		ChannelFuture started = PeerChannels
			.client(this.loop, (from, message) -> complete(message.id(), Optional.of(message)))
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

	private void complete(long id, Optional<PeerMessage> answer) {
		CompletableFuture<Optional<PeerMessage>> waiting = this.inFlight.remove(id);
		if (waiting != null) {
			waiting.complete(answer);
		}
	}

	@Override
	public void close() {
		if (this.channel != null) {
			this.channel.close();
		}
	}

}
