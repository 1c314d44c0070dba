package io.bulrushrouter.gateway.forward;

import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

import io.micrometer.core.instrument.Counter;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;

import io.bulrushrouter.gateway.source.UpstreamRecord;
import io.bulrushrouter.kernel.TimeSource;

/**
 * Pool of connections to upstreams, of which idle ones are reused. Accessed on the event
 * loop only.
 */
final class UpstreamConnectionPool {

	/**
	 * Connecting within a data centre takes about a millisecond; a lost packet is
	 * retransmitted only after a second.
	 */
	private static final int CONNECT_TIMEOUT_MILLIS = 500;

	/** Some events of a stream. Each read adapts to the length of those before it. */
	private static final int MIN_READ_BYTES = 512;

	/**
	 * Largest buffer for one read. It is how far a response may exceed its allowance
	 * before reading pauses: 8 MB for 2,000 callers that read nothing.
	 */
	static final int MAX_READ_BYTES = 4_096;

	private final Bootstrap bootstrap;

	private final TimeSource clock;

	private final Counter connects;

	private final MemoryLedger memory;

	private final MalformedResponses malformedResponses;

	private final IntSupplier maxConnections;

	private int open;

	private Consumer<String> onIdleClosed = (id) -> {
	};

	private final Map<String, Deque<UpstreamConnection>> idle = new HashMap<>();

	/**
	 * Creates an empty pool.
	 * @param loop the event loop
	 * @param clock the monotonic clock
	 * @param connects counts the connections that are opened
	 * @param memory counts requests that upstreams have not read when their response ends
	 * @param malformedResponses records malformed responses
	 * @param maxConnections the limit of open connections, idle ones included
	 */
	UpstreamConnectionPool(EventLoop loop, TimeSource clock, Counter connects, MemoryLedger memory,
			MalformedResponses malformedResponses, IntSupplier maxConnections) {
		this.maxConnections = maxConnections;
		this.malformedResponses = malformedResponses;
		this.clock = clock;
		this.memory = memory;
		this.connects = connects;
		this.bootstrap = new Bootstrap().group(loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.SO_KEEPALIVE, true)
			.option(ChannelOption.SO_RCVBUF, SocketBuffers.BYTES)
			.option(ChannelOption.SO_SNDBUF, SocketBuffers.BYTES)
			.option(ChannelOption.RCVBUF_ALLOCATOR,
					new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, MIN_READ_BYTES, MAX_READ_BYTES))
			// The end that the upstream brings about is an event of its own, so that it
			// differs from a close on this side.
			.option(ChannelOption.ALLOW_HALF_CLOSURE, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.handler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					// The handlers are added once the connection is established.
				}
			});
	}

	/**
	 * Sets the receiver of the upstreams that close an idle connection, as a process that
	 * ends does.
	 * @param receiver receives the upstream's identifier
	 */
	void onIdleClosed(Consumer<String> receiver) {
		this.onIdleClosed = receiver;
	}

	/**
	 * Acquires an idle connection, or opens a new one.
	 * @param upstream the upstream
	 * @param identifier the identifier by which the response is told from a late one to
	 * an earlier request on the connection; if empty, a new connection is opened
	 * @param onReady called with the connection
	 * @param onFailure called with the reason if no connection can be opened
	 */
	void acquire(UpstreamRecord upstream, Optional<String> identifier, Consumer<UpstreamConnection> onReady,
			Consumer<String> onFailure) {
		identifier.flatMap((value) -> takeIdle(upstream.id(), value))
			.ifPresentOrElse(onReady, () -> connect(upstream, onReady, onFailure));
	}

	private Optional<UpstreamConnection> takeIdle(String upstreamId, String identifier) {
		Deque<UpstreamConnection> connections = this.idle.getOrDefault(upstreamId, new ArrayDeque<>());
		Iterator<UpstreamConnection> latestFirst = connections.descendingIterator();
		while (latestFirst.hasNext()) {
			UpstreamConnection connection = latestFirst.next();
			if (expired(connection)) {
				latestFirst.remove();
				connection.abandon();
			}
			else if (!connection.mayHaveCarried(identifier)) {
				latestFirst.remove();
				return Optional.of(connection);
			}
		}
		return Optional.empty();
	}

	private boolean expired(UpstreamConnection connection) {
		return !connection.active() || this.clock.nanos() - connection.idleSince() > connection.idleLimitNanos();
	}

	private void connect(UpstreamRecord upstream, Consumer<UpstreamConnection> onReady, Consumer<String> onFailure) {
		ChannelFuture connecting = open(upstream);
		connecting.addListener((result) -> {
			if (!result.isSuccess()) {
				onFailure.accept(String.valueOf(result.cause()));
				return;
			}
			Channel channel = connecting.channel();
			UpstreamConnection connection = new UpstreamConnection(upstream.id(), channel,
					(released) -> addIdle(upstream.id(), released), (closed) -> removeIdle(upstream.id(), closed),
					this.clock, this.memory, this.malformedResponses);
			channel.pipeline().addLast(connection.handlers());
			onReady.accept(connection);
		});
	}

	private ChannelFuture open(UpstreamRecord upstream) {
		if (this.open >= this.maxConnections.getAsInt()) {
			closeLongestIdle();
		}
		this.connects.increment();
		this.open++;
		ChannelFuture connecting = this.bootstrap.connect(upstream.address());
		connecting.channel().closeFuture().addListener((closed) -> this.open--);
		return connecting;
	}

	// The first of each deque has been idle for the longest time.
	private void closeLongestIdle() {
		this.idle.values()
			.stream()
			.filter((connections) -> !connections.isEmpty())
			.min(Comparator.comparingLong((connections) -> connections.getFirst().idleSince()))
			.ifPresent((connections) -> connections.removeFirst().abandon());
	}

	/**
	 * Returns whether all connections that may be open carry a request.
	 * @return whether no other connection can be opened
	 */
	boolean exhausted() {
		return this.open >= this.maxConnections.getAsInt() && this.idle.values().stream().allMatch(Deque::isEmpty);
	}

	/**
	 * Returns how many connections are open.
	 * @return the number, with idle ones and those that are being opened
	 */
	int connections() {
		return this.open;
	}

	/**
	 * Finds out whether an upstream accepts connections.
	 * @param upstream the upstream
	 * @param onResult called with the result
	 */
	void findListener(UpstreamRecord upstream, Consumer<ListenerState> onResult) {
		ChannelFuture connecting = open(upstream);
		connecting.addListener((result) -> {
			connecting.channel().close();
			onResult.accept(ListenerState.of(result.cause()));
		});
	}

	private void addIdle(String id, UpstreamConnection connection) {
		connection.idleSince(this.clock.nanos());
		this.idle.computeIfAbsent(id, (key) -> new ArrayDeque<>()).addLast(connection);
	}

	private void removeIdle(String id, UpstreamConnection connection) {
		Deque<UpstreamConnection> connections = this.idle.get(id);
		if (connections != null && connections.remove(connection)) {
			this.onIdleClosed.accept(id);
		}
	}

	/**
	 * Closes connections that have been idle for too long or whose upstream is no longer
	 * listed.
	 * @param listedUpstreams the identifiers of the listed upstreams
	 */
	void sweep(Set<String> listedUpstreams) {
		this.idle.forEach((id, connections) -> {
			boolean listed = listedUpstreams.contains(id);
			for (UpstreamConnection connection : connections.toArray(UpstreamConnection[]::new)) {
				if (!listed || expired(connection)) {
					connections.remove(connection);
					connection.abandon();
				}
			}
		});
		this.idle.values().removeIf(Deque::isEmpty);
	}

	/**
	 * What becomes of a new connection to an upstream.
	 */
	enum ListenerState {

		/** The connection is accepted. */
		ACCEPTING,

		/** The instance runs, and no process listens there. */
		REFUSING,

		/** The instance does not respond or cannot be reached. */
		UNREACHABLE;

		private static ListenerState of(Throwable failure) {
			if (failure == null) {
				return ACCEPTING;
			}
			boolean refused = failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
			return refused ? REFUSING : UNREACHABLE;
		}

	}

}
