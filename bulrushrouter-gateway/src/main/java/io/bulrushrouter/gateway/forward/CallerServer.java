package io.bulrushrouter.gateway.forward;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;

import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;

/**
 * Listens for callers.
 */
public final class CallerServer implements AutoCloseable {

	/** Connections that wait to be accepted; beyond it callers wait for seconds. */
	private static final int BACKLOG = 1_024;

	private final GatewayContext context;

	private final AdmissionHandler admissionHandler;

	private final int maxConnections;

	private final Set<CallerConnection> connections = new HashSet<>();

	private Channel serverChannel;

	/**
	 * Creates a server.
	 * @param context what all requests share
	 * @param mostConnections the connections that are accepted at once
	 */
	public CallerServer(GatewayContext context, int mostConnections) {
		this.context = context;
		this.admissionHandler = new AdmissionHandler(context);
		this.maxConnections = mostConnections;
	}

	/**
	 * Starts to listen.
	 * @param address the address
	 * @return the address in use
	 */
	public InetSocketAddress listen(InetSocketAddress address) {
		ServerBootstrap bootstrap = new ServerBootstrap().group(this.context.loop())
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.SO_KEEPALIVE, true)
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
		if (this.connections.size() >= this.maxConnections) {
			channel.close();
			return;
		}
		StrictRequestDecoder decoder = new StrictRequestDecoder(this.context.limits().headerBytes());
		CallerConnection connection = new CallerConnection(this.context, this.admissionHandler, decoder);
		this.connections.add(connection);
		channel.closeFuture().addListener((closed) -> this.connections.remove(connection));
		channel.pipeline().addLast(decoder, new HttpResponseEncoder(), connection);
	}

	/**
	 * Looks for callers that are too slow or idle.
	 * @param nowNanos the time
	 */
	public void sweep(long nowNanos) {
		// A copy, since a connection that closes leaves the set.
		List.copyOf(this.connections).forEach((connection) -> connection.sweep(nowNanos));
	}

	/**
	 * Returns the connections of callers.
	 * @return the number
	 */
	public int connections() {
		return this.connections.size();
	}

	@Override
	public void close() {
		if (this.serverChannel != null) {
			this.serverChannel.close();
		}
	}

}
