package io.bulrushrouter.wire;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
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
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;

import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;

/**
 * The connections of a process to its peers, which it accepts or opens and reopens with
 * exponential backoff and jitter.
 */
public final class PeerNetwork implements AutoCloseable {

	private static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

	private static final int LENGTH_BYTES = 4;

	private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

	/** The time without a message to send after which a heartbeat is sent. */
	static final int HEARTBEAT_INTERVAL_MILLIS = 2_000;

	/**
	 * The time without a message from a peer after which its connection is closed; one
	 * lost or late heartbeat is tolerated.
	 */
	static final int MAX_SILENCE_MILLIS = 5_000;

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

	private PeerNetwork(EventLoopGroup group, WireMessage.Hello ownHello, PeerHandler handler, RandomGenerator random) {
		this.group = group;
		this.ownHello = ownHello;
		this.handler = handler;
		this.random = random;
	}

	/**
	 * Creates a network without connections.
	 * @param group the event loops to run on, which are not closed with the network
	 * @param ownHello the hello message of this process
	 * @param handler the handler of all connections
	 * @param random the source of the jitter between attempts to connect
	 * @return the network
	 */
	public static PeerNetwork of(EventLoopGroup group, WireMessage.Hello ownHello, PeerHandler handler,
			RandomGenerator random) {
		return new PeerNetwork(group, ownHello, handler, random);
	}

	/**
	 * Starts to accept connections of peers.
	 * @param address the address to listen on, where port 0 selects a free port
	 * @return the port
	 * @throws BulrushException with {@link ErrorCode#PORT_IN_USE} if it cannot listen on
	 * the address
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
	 * Returns the counters of bytes sent.
	 * @return the counters
	 */
	public WireCounters counters() {
		return this.counters;
	}

	/**
	 * Connects to a peer and reconnects until the returned handle is closed.
	 * @param address the address of the peer
	 * @return the handle that stops reconnecting
	 */
	public ReconnectHandle connect(InetSocketAddress address) {
		AtomicBoolean enabled = new AtomicBoolean(true);
		connect(address, enabled, MIN_BACKOFF_MILLIS);
		return () -> enabled.set(false);
	}

	private void connect(InetSocketAddress address, AtomicBoolean enabled, int backoffMillis) {
		if (this.closed || !enabled.get()) {
			return;
		}
		ChannelFuture connecting = new Bootstrap().group(this.group)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.handler(initializer())
			.connect(address);
		connecting.addListener((ChannelFuture connected) -> {
			if (connected.isSuccess()) {
				connected.channel()
					.closeFuture()
					.addListener((future) -> reconnect(address, enabled, MIN_BACKOFF_MILLIS));
			}
			else {
				reconnect(address, enabled, Math.min(2 * backoffMillis, MAX_BACKOFF_MILLIS));
			}
		});
	}

	private void reconnect(InetSocketAddress address, AtomicBoolean enabled, int backoffMillis) {
		if (this.closed || this.group.isShuttingDown()) {
			return;
		}
		long delay = backoffMillis + this.random.nextInt(backoffMillis);
		this.group.schedule(() -> connect(address, enabled, backoffMillis), delay, TimeUnit.MILLISECONDS);
	}

	private ChannelInitializer<Channel> initializer() {
		return new ChannelInitializer<>() {
			@Override
			protected void initChannel(Channel channel) {
				PeerNetwork.this.connections.add(channel);
				channel.pipeline()
					.addLast(
							new IdleStateHandler(MAX_SILENCE_MILLIS, HEARTBEAT_INTERVAL_MILLIS, 0,
									TimeUnit.MILLISECONDS),
							new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
							new PeerConnection(PeerNetwork.this.ownHello, PeerNetwork.this.handler,
									PeerNetwork.this.counters));
			}
		};
	}

	/**
	 * Waits until everything that was sent before is written to the sockets.
	 * @param timeout how long to wait for peers that read slowly
	 * @return whether all of it was written within the timeout
	 */
	public boolean awaitWritten(Duration timeout) {
		// An empty buffer is written after all batches that the event loop has queued.
		return this.connections.writeAndFlush(Unpooled.EMPTY_BUFFER)
			.awaitUninterruptibly(timeout.toMillis(), TimeUnit.MILLISECONDS);
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
	 * A handle on the connection to one address, which is reopened after each failure
	 * until the handle is closed.
	 */
	@FunctionalInterface
	public interface ReconnectHandle extends AutoCloseable {

		/**
		 * Stops reconnecting. A connection that is open stays open.
		 */
		@Override
		void close();

	}

}
