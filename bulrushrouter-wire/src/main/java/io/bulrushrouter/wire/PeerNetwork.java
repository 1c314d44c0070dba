package io.bulrushrouter.wire;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.util.concurrent.GlobalEventExecutor;

import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;

/**
 * A process's connections to other processes of the system.
 */
public final class PeerNetwork implements AutoCloseable {

	private static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

	private static final int LENGTH_BYTES = 4;

	private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

	private static final int MIN_BACKOFF_MILLIS = 50;

	private static final int MAX_BACKOFF_MILLIS = 1_000;

	private final EventLoopGroup group;

	private final WireMessage.Hello ownHello;

	private final PeerHandler handler;

	private final RandomGenerator random;

	private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

	private final WireCounters counters = new WireCounters();

	private volatile Channel listener;

	private volatile boolean closed;

	private PeerNetwork(EventLoopGroup group, WireMessage.Hello own, PeerHandler handler, RandomGenerator random) {
		this.group = group;
		this.ownHello = own;
		this.handler = handler;
		this.random = random;
	}

	/**
	 * Returns a network without connections.
	 * @param group the network threads, which the caller owns
	 * @param own how this process introduces itself
	 * @param handler hears what happens
	 * @param random spreads the tries to reconnect
	 * @return the network
	 */
	public static PeerNetwork of(EventLoopGroup group, WireMessage.Hello own, PeerHandler handler,
			RandomGenerator random) {
		return new PeerNetwork(group, own, handler, random);
	}

	/**
	 * Listens for other processes.
	 * @param address where to listen; port 0 takes a free one
	 * @return the port
	 * @throws BulrushException with {@link ErrorCode#PORT_IN_USE} if the address is taken
	 */
	public int listen(InetSocketAddress address) {
		ChannelFuture bound = new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(initializer())
			.bind(address)
			.awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw new BulrushException(ErrorCode.PORT_IN_USE, "cannot listen on " + address, bound.cause());
		}
		this.listener = bound.channel();
		return ((InetSocketAddress) this.listener.localAddress()).getPort();
	}

	/**
	 * Returns what was sent.
	 * @return the counters
	 */
	public WireCounters counters() {
		return this.counters;
	}

	/**
	 * Connects to an address and keeps reconnecting until the link is closed.
	 * @param address the other process's address
	 * @return the link
	 */
	public ReconnectHandle connect(InetSocketAddress address) {
		AtomicBoolean open = new AtomicBoolean(true);
		connect(address, open, MIN_BACKOFF_MILLIS);
		return () -> open.set(false);
	}

	private void connect(InetSocketAddress address, AtomicBoolean open, int backoffMillis) {
		if (this.closed || !open.get()) {
			return;
		}
		ChannelFuture connecting = new Bootstrap().group(this.group)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.handler(initializer())
			.connect(address);
		connecting.addListener((ChannelFuture done) -> {
			if (done.isSuccess()) {
				done.channel().closeFuture().addListener((gone) -> reconnect(address, open, MIN_BACKOFF_MILLIS));
			}
			else {
				reconnect(address, open, Math.min(2 * backoffMillis, MAX_BACKOFF_MILLIS));
			}
		});
	}

	private void reconnect(InetSocketAddress address, AtomicBoolean open, int backoffMillis) {
		if (this.closed || this.group.isShuttingDown()) {
			return;
		}
		long delay = backoffMillis + this.random.nextInt(backoffMillis);
		this.group.schedule(() -> connect(address, open, backoffMillis), delay, TimeUnit.MILLISECONDS);
	}

	private ChannelInitializer<Channel> initializer() {
		return new ChannelInitializer<>() {
			@Override
			protected void initChannel(Channel channel) {
				PeerNetwork.this.connections.add(channel);
				channel.pipeline()
					.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
							new PeerConnection(PeerNetwork.this.ownHello, PeerNetwork.this.handler,
									PeerNetwork.this.counters));
			}
		};
	}

	/**
	 * Stops listening and closes all connections.
	 */
	@Override
	public void close() {
		this.closed = true;
		if (this.listener != null) {
			this.listener.close().awaitUninterruptibly();
		}
		this.connections.close().awaitUninterruptibly();
	}

	/**
	 * The wish to stay connected to one address.
	 */
	@FunctionalInterface
	public interface ReconnectHandle extends AutoCloseable {

		/**
		 * Stops reconnecting. A connection that is open stays until it is closed.
		 */
		@Override
		void close();

	}

}
