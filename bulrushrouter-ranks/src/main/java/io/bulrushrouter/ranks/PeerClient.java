package io.bulrushrouter.ranks;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;

import io.bulrushrouter.experts.live.OrderResult;

/**
 * Sends requests to the sidecar of another rank. A request that is not answered in time
 * completes without a response. The connection is closed if nothing has arrived on it
 * since that request was sent, as it may have failed silently; a slow connection stays
 * open.
 */
final class PeerClient implements AutoCloseable {

	/**
	 * Longer than a peer waits for its engine; otherwise a peer answers within
	 * milliseconds.
	 */
	private static final long RESPONSE_TIMEOUT_MILLIS = 400;

	/** Additional time for a peer that passes the request on and waits for others. */
	private static final long RELAY_TIMEOUT_MILLIS = 400;

	/** The slowest link of an instance, 4 Mbit/s, in bytes per millisecond. */
	private static final int MIN_LINK_BYTES_PER_MILLI = 500;

	private final EventLoop loop;

	private final InetSocketAddress address;

	private final Map<Long, CompletableFuture<Optional<PeerMessage>>> inFlight = new HashMap<>();

	private Channel channel;

	private ChannelFuture connecting;

	private long lastId;

	private long received;

	PeerClient(EventLoop loop, InetSocketAddress address) {
		this.loop = loop;
		this.address = address;
	}

	InetAddress address() {
		return this.address.getAddress();
	}

	/**
	 * Requests the status of the peer's rank.
	 * @param knownEpoch the epoch of the map whose experts are known
	 * @param knownMap the version of that map
	 * @return the response, which contains no status if the engine did not answer or is
	 * in no group, or empty if the sidecar did not answer
	 */
	CompletionStage<Optional<PeerMessage.StatusResponse>> status(long knownEpoch, long knownMap) {
		return send(new PeerMessage.StatusRequest(++this.lastId, knownEpoch, knownMap), RESPONSE_TIMEOUT_MILLIS, 1)
			.thenApply((response) -> response.filter(PeerMessage.StatusResponse.class::isInstance)
				.map(PeerMessage.StatusResponse.class::cast));
	}

	/**
	 * Requests the recent choices of the peer's rank and of further ranks, added up.
	 * @param members the addresses of the sidecars of the further ranks
	 * @return the choices, or empty if the sidecar did not answer or has none
	 */
	CompletionStage<Optional<EncodedSample>> choices(List<InetAddress> members) {
		return send(new PeerMessage.ChoicesRequest(++this.lastId, members), timeoutMillis(members), 1)
			.thenApply((response) -> response.filter(PeerMessage.ChoicesResponse.class::isInstance)
				.flatMap((message) -> ((PeerMessage.ChoicesResponse) message).sample()));
	}

	/**
	 * Sends an order to the peer's rank and to further ranks.
	 * @param order the order
	 * @param epoch the epoch in which the order is valid
	 * @param fence the fencing token of the sender
	 * @param members the addresses of the sidecars of the further ranks
	 * @param copies the number of peers that the order is sent to at the same time, which
	 * share the link
	 * @return the result of the peer's rank, then those of the members; all
	 * {@link OrderResult#UNKNOWN} if the sidecar did not answer
	 */
	CompletionStage<List<OrderResult>> order(EncodedOrder order, long epoch, long fence, List<InetAddress> members,
			int copies) {
		PeerMessage request = new PeerMessage.OrderRequest(++this.lastId, epoch, fence, order, members);
		int ranks = members.size() + 1;
		return send(request, timeoutMillis(members), Math.max(copies, members.size()))
			.thenApply((response) -> response.filter(PeerMessage.OrderResponse.class::isInstance)
				.map((message) -> ((PeerMessage.OrderResponse) message).results())
				.filter((results) -> results.size() == ranks)
				.orElseGet(() -> Collections.nCopies(ranks, OrderResult.UNKNOWN)));
	}

	private static long timeoutMillis(List<InetAddress> members) {
		return RESPONSE_TIMEOUT_MILLIS + (members.isEmpty() ? 0 : RELAY_TIMEOUT_MILLIS);
	}

	private CompletionStage<Optional<PeerMessage>> send(PeerMessage request, long timeoutMillis, int copies) {
		CompletableFuture<Optional<PeerMessage>> response = new CompletableFuture<>();
		byte[] encoded = PeerCodec.encode(request);
		long transferMillis = (long) copies * encoded.length / MIN_LINK_BYTES_PER_MILLI;
		long receivedBefore = this.received;
		this.inFlight.put(request.id(), response);
		this.loop.schedule(() -> handleTimeout(request.id(), receivedBefore), timeoutMillis + transferMillis,
				TimeUnit.MILLISECONDS);
		if (this.channel != null && this.channel.isActive()) {
			PeerChannels.send(this.channel, encoded);
			return response;
		}
		connect().addListener((ChannelFuture connected) -> {
			if (connected.isSuccess()) {
				PeerChannels.send(connected.channel(), encoded);
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
		ChannelFuture started = PeerChannels.client(this.loop, (source, message) -> receive(message))
			.connect(this.address);
		this.connecting = started;
		started.addListener((done) -> {
			this.channel = done.isSuccess() ? started.channel() : null;
			this.connecting = null;
		});
		return started;
	}

	private void receive(PeerMessage message) {
		this.received++;
		complete(message.id(), Optional.of(message));
	}

	private void handleTimeout(long id, long receivedBefore) {
		if (this.inFlight.containsKey(id)) {
			complete(id, Optional.empty());
			if (this.channel != null && this.received == receivedBefore) {
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
