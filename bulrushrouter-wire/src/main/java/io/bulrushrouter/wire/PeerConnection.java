package io.bulrushrouter.wire;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A connection to a peer process. Messages that are sent while the event loop is busy are
 * written in one batch. Both sides send a heartbeat when they have nothing else to send,
 * so that a peer that is suspended or unreachable is told from one that is idle; the
 * connection to it is closed.
 */
public final class PeerConnection extends SimpleChannelInboundHandler<ByteBuf> {

	private static final Logger logger = LoggerFactory.getLogger(PeerConnection.class);

	private static final AtomicLong LAST_ID = new AtomicLong();

	/** The pending bytes above which the connection to a slow peer is closed. */
	private static final long MAX_PENDING_BYTES = 64L * 1024 * 1024;

	/** The size from which a batch of frames is written. */
	private static final int FLUSH_BYTES = 256 * 1024;

	private static final WireMessage.Control HEARTBEAT = new WireMessage.Control("Heartbeat", new byte[0]);

	private final long id = LAST_ID.incrementAndGet();

	private final WireMessage.Hello ownHello;

	private final PeerHandler handler;

	private final WireCounters counters;

	private final WireCodec codec = new WireCodec();

	private final ConcurrentLinkedQueue<WireMessage> outbox = new ConcurrentLinkedQueue<>();

	private final AtomicBoolean flushing = new AtomicBoolean();

	private volatile ChannelHandlerContext context;

	private volatile WireMessage.Hello peer;

	private boolean peerSendsHeartbeats;

	PeerConnection(WireMessage.Hello ownHello, PeerHandler handler, WireCounters counters) {
		this.counters = counters;
		this.ownHello = ownHello;
		this.handler = handler;
	}

	/**
	 * Returns the identifier of this connection.
	 * @return a number that is unique within the process
	 */
	public long id() {
		return this.id;
	}

	/**
	 * Returns the hello message of the peer.
	 * @return the message, or {@code null} until {@link PeerHandler#connected} is called
	 */
	public WireMessage.Hello peer() {
		return this.peer;
	}

	/**
	 * Sends a message.
	 * @param message the message
	 * @return {@code false} if the connection is closed and the message is certainly not
	 * sent; {@code true} if it may be sent
	 */
	public boolean send(WireMessage message) {
		ChannelHandlerContext current = this.context;
		if (current == null || !current.channel().isActive()) {
			return false;
		}
		this.outbox.add(message);
		if (this.flushing.compareAndSet(false, true)) {
			current.executor().execute(this::flushOutbox);
		}
		return true;
	}

	/**
	 * Closes the connection.
	 */
	public void close() {
		ChannelHandlerContext current = this.context;
		if (current != null) {
			current.close();
		}
	}

	private void flushOutbox() {
		this.flushing.set(false);
		ByteBuf batch = this.context.alloc().buffer();
		for (WireMessage message = this.outbox.poll(); message != null; message = this.outbox.poll()) {
			int before = batch.readableBytes();
			this.codec.encode(message, batch);
			this.counters.recordSent(message, batch.readableBytes() - before);
			if (batch.readableBytes() >= FLUSH_BYTES) {
				this.context.writeAndFlush(batch);
				batch = this.context.alloc().buffer();
			}
		}
		this.context.writeAndFlush(batch);
		closeIfTooSlow();
	}

	private void closeIfTooSlow() {
		var buffer = this.context.channel().unsafe().outboundBuffer();
		if (buffer != null && buffer.totalPendingWriteBytes() > MAX_PENDING_BYTES) {
			logger.warn("event=peer-too-slow peer={}", this.peer);
			close();
		}
	}

	@Override
	public void channelActive(ChannelHandlerContext channelContext) {
		this.context = channelContext;
		send(this.ownHello);
		send(HEARTBEAT);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext channelContext, ByteBuf frame) {
		WireMessage message = this.codec.decode(ByteBufUtil.getBytes(frame));
		if (message instanceof WireMessage.Hello hello) {
			this.peer = hello;
			this.handler.connected(this);
		}
		else if (message instanceof WireMessage.Control control && control.topic().equals(HEARTBEAT.topic())) {
			this.peerSendsHeartbeats = true;
		}
		else if (this.peer != null) {
			this.handler.received(this, message);
		}
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext channelContext, Object event) throws Exception {
		if (event instanceof IdleStateEvent idle) {
			handleIdle(idle.state());
		}
		else {
			super.userEventTriggered(channelContext, event);
		}
	}

	private void handleIdle(IdleState state) {
		if (state == IdleState.WRITER_IDLE) {
			send(HEARTBEAT);
		}
		else if (state == IdleState.READER_IDLE && expectsHeartbeats()) {
			logger.warn("event=peer-silent peer={}", this.peer);
			close();
		}
	}

	// A peer of an older version says hello but sends no heartbeats.
	private boolean expectsHeartbeats() {
		return this.peer == null || this.peerSendsHeartbeats;
	}

	@Override
	public void channelInactive(ChannelHandlerContext channelContext) {
		if (this.peer != null) {
			this.handler.closed(this);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext channelContext, Throwable cause) {
		logger.warn("event=peer-connection-failed peer={} cause={}", this.peer, cause.toString());
		channelContext.close();
	}

	@Override
	public String toString() {
		return "connection " + this.id + " to " + this.peer;
	}

}
