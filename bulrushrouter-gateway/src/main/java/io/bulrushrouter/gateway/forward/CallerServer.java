package io.bulrushrouter.gateway.forward;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;

import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;

/**
 * HTTP server that accepts the connections of callers.
 */
public final class CallerServer implements AutoCloseable {

	/**
	 * Length of the accept queue; a caller whose connection does not fit waits for
	 * seconds until its connect is retransmitted.
	 */
	private static final int BACKLOG = 1_024;

	/** The length of usual request heads. */
	private static final int MIN_READ_BYTES = 1_024;

	/**
	 * Largest buffer for one read, which bounds what arrives after reading has paused.
	 */
	private static final int MAX_READ_BYTES = 16 * 1024;

	private final GatewayContext context;

	private final AdmissionHandler admissionHandler;

	private final int maxConnections;

	private final Set<CallerConnection> connections = new HashSet<>();

	private Channel serverChannel;

	private long accepted;

	/**
	 * Creates a server.
	 * @param context the state shared by all requests
	 * @param maxConnections the maximum number of open connections; further ones are
	 * closed
	 */
	public CallerServer(GatewayContext context, int maxConnections) {
		this.context = context;
		this.admissionHandler = new AdmissionHandler(context);
		this.maxConnections = maxConnections;
	}

	/**
	 * Binds the server and starts to accept connections.
	 * @param address the address; port 0 selects a free port
	 * @return the bound address
	 */
	public InetSocketAddress listen(InetSocketAddress address) {
		ServerBootstrap bootstrap = new ServerBootstrap().group(this.context.loop())
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			// Inherited by accepted connections; later it could not be negotiated.
			.option(ChannelOption.SO_RCVBUF, SocketBuffers.BYTES)
			.childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.SO_KEEPALIVE, true)
			.childOption(ChannelOption.SO_SNDBUF, SocketBuffers.BYTES)
			.childOption(ChannelOption.RCVBUF_ALLOCATOR,
					new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, MIN_READ_BYTES, MAX_READ_BYTES))
			.childHandler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					accept(channel);
				}
			});
		try {
			this.serverChannel = bootstrap.bind(address).syncUninterruptibly().channel();
		}
		catch (Exception ex) {
			throw new BulrushException(ErrorCode.PORT_IN_USE, "cannot listen on " + address, ex);
		}
		return (InetSocketAddress) this.serverChannel.localAddress();
	}

	private void accept(Channel channel) {
		this.accepted++;
		if (this.connections.size() >= this.maxConnections) {
			channel.close();
			return;
		}
		CallerConnection connection = new CallerConnection(this.context, this::open);
		this.connections.add(connection);
		channel.closeFuture().addListener((closed) -> this.connections.remove(connection));
		channel.pipeline().addLast(connection.handlers());
	}

	private Optional<CallerExchange> open(CallerRequest request, ResponseWriter responseWriter, Runnable onComplete) {
		return this.admissionHandler.admit(request, responseWriter)
			.map((admitted) -> new Exchange(this.context, responseWriter, admitted, onComplete));
	}

	/**
	 * Applies the timeouts of callers to all connections.
	 * @param nowNanos the time on the monotonic clock, in nanoseconds
	 */
	public void sweep(long nowNanos) {
		// Iterates over a copy, since a closing connection removes itself from the set.
		List.copyOf(this.connections).forEach((connection) -> connection.sweep(nowNanos));
	}

	/**
	 * Returns the number of open connections.
	 * @return the number
	 */
	public int connections() {
		return this.connections.size();
	}

	/**
	 * Returns the number of connections that were accepted since the start.
	 * @return the number
	 */
	public long accepted() {
		return this.accepted;
	}

	/**
	 * Returns whether a request is arriving on a connection or a response is not written
	 * as a whole.
	 * @return whether ending now would cut something off
	 */
	public boolean busy() {
		return this.connections.stream().anyMatch(CallerConnection::busy);
	}

	@Override
	public void close() {
		if (this.serverChannel != null) {
			this.serverChannel.close();
		}
	}

}
