package io.bulrushrouter.gateway.node;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;

import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;

/**
 * Serves plain-text pages over HTTP: the process's readiness and its metrics.
 */
final class StatusServer implements AutoCloseable {

	private final EventLoop loop;

	private final Function<String, Page> pages;

	private Channel serverChannel;

	/**
	 * Creates a server.
	 * @param loop the event loop
	 * @param pages the function that maps a request's path to its page
	 */
	StatusServer(EventLoop loop, Function<String, Page> pages) {
		this.loop = loop;
		this.pages = pages;
	}

	InetSocketAddress listen(InetSocketAddress address) {
		ServerBootstrap bootstrap = new ServerBootstrap().group(this.loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childHandler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline().addLast(new HttpServerCodec(), new PageHandler());
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

	@Override
	public void close() {
		if (this.serverChannel != null) {
			this.serverChannel.close();
		}
	}

	/**
	 * A plain-text page.
	 *
	 * @param status the HTTP status code
	 * @param text the content
	 */
	record Page(int status, String text) {
	}

	private final class PageHandler extends SimpleChannelInboundHandler<HttpObject> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
			if (!(message instanceof HttpRequest request)) {
				return;
			}
			Page page = StatusServer.this.pages.apply(request.uri());
			byte[] body = page.text().getBytes(StandardCharsets.UTF_8);
			DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
					HttpResponseStatus.valueOf(page.status()), Unpooled.wrappedBuffer(body));
			response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
			response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
			context.writeAndFlush(response);
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
