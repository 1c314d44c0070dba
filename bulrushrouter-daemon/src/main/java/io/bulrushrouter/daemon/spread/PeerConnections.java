package io.bulrushrouter.daemon.spread;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.bulrushrouter.kernel.InstanceId;
import io.bulrushrouter.wire.PeerConnection;
import io.bulrushrouter.wire.PeerNetwork;
import io.bulrushrouter.wire.WireMessage;

/**
 * The connections to other processes, by instance: those opened by other parts of the
 * process or by the peer, and those opened here to send a message and closed when idle.
 * Accessed by the configuration duty only.
 */
final class PeerConnections {

	private static final int MAX_PENDING_MESSAGES = 8;

	private static final long IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

	private final PeerNetwork network;

	private final Function<InstanceId, Optional<InetSocketAddress>> addresses;

	private final Map<InstanceId, PeerConnection> connections = new HashMap<>();

	private final Map<InstanceId, OutboundConnection> outbound = new HashMap<>();

	PeerConnections(PeerNetwork network, Function<InstanceId, Optional<InetSocketAddress>> addresses) {
		this.network = network;
		this.addresses = addresses;
	}

	static InstanceId instanceOf(PeerConnection connection) {
		return InstanceId.of(connection.peer().instance());
	}

	void connected(PeerConnection connection) {
		InstanceId instance = instanceOf(connection);
		this.connections.put(instance, connection);
		Optional.ofNullable(this.outbound.get(instance))
			.ifPresent((outgoing) -> outgoing.pending.forEach(connection::send));
		Optional.ofNullable(this.outbound.get(instance)).ifPresent((outgoing) -> outgoing.pending.clear());
	}

	void disconnected(PeerConnection connection) {
		this.connections.remove(instanceOf(connection), connection);
	}

	/**
	 * Sends a message and opens a connection if there is none.
	 * @param to the receiving instance
	 * @param message the message; dropped if the instance cannot be reached
	 * @param nowNanos the current time, in nanoseconds
	 */
	void send(InstanceId to, WireMessage message, long nowNanos) {
		OutboundConnection outgoing = this.outbound.get(to);
		if (outgoing != null) {
			outgoing.lastUsedNanos = nowNanos;
		}
		PeerConnection connection = this.connections.get(to);
		if (connection != null && connection.send(message)) {
			return;
		}
		if (outgoing == null) {
			outgoing = open(to, nowNanos);
		}
		if (outgoing != null && outgoing.pending.size() < MAX_PENDING_MESSAGES) {
			outgoing.pending.add(message);
		}
	}

	private OutboundConnection open(InstanceId to, long nowNanos) {
		return this.addresses.apply(to).map((address) -> {
			OutboundConnection outgoing = new OutboundConnection(this.network.connect(address), nowNanos);
			this.outbound.put(to, outgoing);
			return outgoing;
		}).orElse(null);
	}

	void closeIdle(long nowNanos) {
		this.outbound.entrySet().removeIf((entry) -> {
			boolean idle = nowNanos - entry.getValue().lastUsedNanos > IDLE_TIMEOUT_NANOS;
			if (idle) {
				entry.getValue().reconnectHandle.close();
				Optional.ofNullable(this.connections.remove(entry.getKey())).ifPresent(PeerConnection::close);
			}
			return idle;
		});
	}

	private static final class OutboundConnection {

		private final PeerNetwork.ReconnectHandle reconnectHandle;

		private final Deque<WireMessage> pending = new ArrayDeque<>();

		private long lastUsedNanos;

		private OutboundConnection(PeerNetwork.ReconnectHandle reconnectHandle, long nowNanos) {
			this.reconnectHandle = reconnectHandle;
			this.lastUsedNanos = nowNanos;
		}

	}

}
