package io.bulrushrouter.gateway.forward;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import io.micrometer.core.instrument.Counter;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;

import io.bulrushrouter.gateway.source.UpstreamRecord;
import io.bulrushrouter.kernel.TimeSource;

/**
 * The connections to upstreams, idle ones kept for reuse. Runs on the event loop only.
 */
final class UpstreamConnectionPool {

	/**
	 * Connects within a data centre take about a millisecond; a lost packet costs a
	 * second.
	 */
	private static final int CONNECT_TIMEOUT_MILLIS = 500;

	private static final int MAX_INITIAL_LINE_BYTES = 4_096;

	private static final int MAX_HEADER_BYTES = 32_768;

	private static final int MAX_CHUNK_BYTES = 16_384;

	private final Bootstrap bootstrap;

	private final TimeSource clock;

	private final Counter connects;

	private final Map<String, Deque<UpstreamConnection>> idle = new HashMap<>();

	UpstreamConnectionPool(EventLoop loop, TimeSource clock, Counter connects) {
		this.clock = clock;
		this.connects = connects;
		this.bootstrap = new Bootstrap().group(loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.SO_KEEPALIVE, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.handler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					// The handler is added once the connection stands.
				}
			});
	}

	/**
	 * Gives a connection: an idle one, or a new one.
	 * @param upstream the upstream
	 * @param fresh whether only a new connection will do
	 * @param ready is given the connection
	 * @param failed is told why there is none
	 */
	void acquire(UpstreamRecord upstream, boolean fresh, Consumer<UpstreamConnection> ready, Consumer<String> failed) {
		UpstreamConnection kept = fresh ? null : takeIdle(upstream.id());
		if (kept != null) {
			ready.accept(kept);
			return;
		}
		connect(upstream, ready, failed);
	}

	private UpstreamConnection takeIdle(String id) {
		Deque<UpstreamConnection> connections = this.idle.get(id);
		UpstreamConnection kept = (connections != null) ? connections.pollLast() : null;
		while (kept != null && expired(kept)) {
			kept.abandon();
			kept = connections.pollLast();
		}
		return kept;
	}

	private boolean expired(UpstreamConnection connection) {
		return !connection.active() || this.clock.nanos() - connection.idleSince() > connection.idleLimitNanos();
	}

	private void connect(UpstreamRecord upstream, Consumer<UpstreamConnection> ready, Consumer<String> failed) {
		this.connects.increment();
		InetSocketAddress address = upstream.address();
		ChannelFuture connecting = this.bootstrap.connect(address);
		connecting.addListener((done) -> {
			if (!done.isSuccess()) {
				failed.accept(String.valueOf(done.cause()));
				return;
			}
			Channel channel = connecting.channel();
			UpstreamConnection connection = new UpstreamConnection(channel, (freed) -> addIdle(upstream.id(), freed),
					(gone) -> removeIdle(upstream.id(), gone));
			channel.pipeline()
				.addLast(new HttpClientCodec(MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES, false, true),
						connection);
			ready.accept(connection);
		});
	}

	private void addIdle(String id, UpstreamConnection connection) {
		connection.idleSince(this.clock.nanos());
		this.idle.computeIfAbsent(id, (key) -> new ArrayDeque<>()).addLast(connection);
	}

	private void removeIdle(String id, UpstreamConnection connection) {
		Deque<UpstreamConnection> connections = this.idle.get(id);
		if (connections != null) {
			connections.remove(connection);
		}
	}

	/**
	 * Closes connections that were idle for too long or whose upstream is gone.
	 * @param accepted the upstreams that are listed
	 */
	void sweep(Set<String> accepted) {
		this.idle.forEach((id, connections) -> {
			boolean listed = accepted.contains(id);
			for (UpstreamConnection connection : connections.toArray(UpstreamConnection[]::new)) {
				if (!listed || expired(connection)) {
					connections.remove(connection);
					connection.abandon();
				}
			}
		});
		this.idle.values().removeIf(Deque::isEmpty);
	}

}
