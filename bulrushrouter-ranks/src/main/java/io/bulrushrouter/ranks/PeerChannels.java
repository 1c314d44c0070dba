package io.bulrushrouter.ranks;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Creates TCP channels that carry {@link PeerMessage}s as length-prefixed frames.
 */
final class PeerChannels {

	private static final Logger logger = LoggerFactory.getLogger(PeerChannels.class);

	/** A map of 256 experts in 61 sets on 256 ranks takes about 8 MB. */
	private static final int MAX_FRAME_BYTES = 16 << 20;

	private static final int LENGTH_BYTES = 4;

	private static final int CONNECT_TIMEOUT_MILLIS = 500;

	private PeerChannels() {
	}

	static ServerBootstrap server(EventLoop loop, Receiver receiver) {
		return new ServerBootstrap().group(loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(initializer(receiver));
	}

	static Bootstrap client(EventLoop loop, Receiver receiver) {
		return new Bootstrap().group(loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.handler(initializer(receiver));
	}

	static void send(Channel channel, PeerMessage message) {
		send(channel, PeerCodec.encode(message));
	}

	static void send(Channel channel, byte[] encoded) {
		channel.writeAndFlush(Unpooled.wrappedBuffer(encoded));
	}

	private static ChannelInitializer<Channel> initializer(Receiver receiver) {
		return new ChannelInitializer<>() {
			@Override
			protected void initChannel(Channel channel) {
				channel.pipeline()
					.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
							new LengthFieldPrepender(LENGTH_BYTES), new FrameHandler(receiver));
			}
		};
	}

	/**
	 * Receives messages from a peer.
	 */
	@FunctionalInterface
	interface Receiver {

		void receive(Channel channel, PeerMessage message);

	}

	private static final class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {

		private final Receiver receiver;

		private FrameHandler(Receiver receiver) {
			this.receiver = receiver;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
			this.receiver.receive(context.channel(), PeerCodec.decode(ByteBufUtil.getBytes(frame)));
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			logger.info("event=peer-connection-closed peer={} reason=\"{}\"", context.channel().remoteAddress(),
					cause.toString());
			context.close();
		}

	}

}
