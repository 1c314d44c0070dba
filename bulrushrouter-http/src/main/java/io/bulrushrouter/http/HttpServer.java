package io.bulrushrouter.http;

import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;

import io.bulrushrouter.http.grammar.MessageGuard;
import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;

/**
 * A listening HTTP/1.1 server.
 *
 * <pre>{@code
 * try (HttpServer server = HttpServer.start(group, address, HttpLimits.ofDefaults(), handler)) {
 *     server.port();
 * }
 * }</pre>
 */
public final class HttpServer implements AutoCloseable {

	private static final int BACKLOG = 1024;

	private final Channel channel;

	private final ChannelGroup connections;

	private final AtomicInteger openExchanges;

	private HttpServer(Channel channel, ChannelGroup connections, AtomicInteger openExchanges) {
		this.channel = channel;
		this.connections = connections;
		this.openExchanges = openExchanges;
	}

	/**
	 * Starts a server.
	 * @param group the event loops to run on, which are not closed with the server
	 * @param address the address to listen on, where port 0 selects a free port
	 * @param limits the limits on requests and pending responses
	 * @param handler the handler of all requests
	 * @return the server
	 * @throws BulrushException with {@link ErrorCode#PORT_IN_USE} if it cannot listen on
	 * the address
	 */
	public static HttpServer start(EventLoopGroup group, InetSocketAddress address, HttpLimits limits,
			HttpHandler handler) {
		ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
		AtomicInteger openExchanges = new AtomicInteger();
		var bound = new ServerBootstrap().group(group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel connection) {
					connections.add(connection);
					HttpDecoderConfig config = new HttpDecoderConfig().setMaxInitialLineLength(limits.maxLineBytes())
						.setMaxHeaderSize(limits.maxHeaderBytes());
					connection.pipeline()
						.addLast(MessageGuard.ofRequests(), new HttpServerCodec(config),
								new HttpServerHandler(limits, handler, openExchanges));
				}
			})
			.bind(address)
			.awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw new BulrushException(ErrorCode.PORT_IN_USE, "cannot listen on " + address, bound.cause());
		}
		return new HttpServer(bound.channel(), connections, openExchanges);
	}

	/**
	 * Returns the port that the server listens on.
	 * @return the port
	 */
	public int port() {
		return ((InetSocketAddress) this.channel.localAddress()).getPort();
	}

	/**
	 * Returns the number of requests whose response has not been handed to the operating
	 * system as a whole.
	 * @return the number, those included whose response waits in a write queue
	 */
	public int openExchanges() {
		return this.openExchanges.get();
	}

	/**
	 * Stops accepting new connections. Open connections stay open.
	 */
	public void stopListening() {
		this.channel.close().awaitUninterruptibly();
	}

	/**
	 * Stops listening and closes all connections.
	 */
	@Override
	public void close() {
		stopListening();
		this.connections.close().awaitUninterruptibly();
	}

}
