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
 * The connections to other processes by instance: those that are there, and those that
 * are opened for a message and closed when they are idle. Owned by the configuration
 * duty.
 */
final class PeerDirectory {

	private static final int MAX_PENDING = 8;

	private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(30);

	private final PeerNetwork network;

	private final Function<InstanceId, Optional<InetSocketAddress>> addresses;

	private final Map<InstanceId, PeerConnection> connections = new HashMap<>();

	private final Map<InstanceId, Opened> opened = new HashMap<>();

	PeerDirectory(PeerNetwork network, Function<InstanceId, Optional<InetSocketAddress>> addresses) {
		this.network = network;
		this.addresses = addresses;
	}

	static InstanceId instanceOf(PeerConnection connection) {
		return InstanceId.of(connection.peer().instance());
	}

	void up(PeerConnection connection) {
		InstanceId instance = instanceOf(connection);
		this.connections.put(instance, connection);
		Optional.ofNullable(this.opened.get(instance)).ifPresent((open) -> open.pending.forEach(connection::send));
		Optional.ofNullable(this.opened.get(instance)).ifPresent((open) -> open.pending.clear());
	}

	void down(PeerConnection connection) {
		this.connections.remove(instanceOf(connection), connection);
	}

	/**
	 * Sends a message, over a new connection if there is none.
	 * @param to the instance
	 * @param message the message; dropped if the instance cannot be reached
	 * @param nowNanos the time
	 */
	void send(InstanceId to, WireMessage message, long nowNanos) {
		Opened open = this.opened.get(to);
		if (open != null) {
			open.usedNanos = nowNanos;
		}
		PeerConnection connection = this.connections.get(to);
		if (connection != null && connection.send(message)) {
			return;
		}
		if (open == null) {
			open = open(to, nowNanos);
		}
		if (open != null && open.pending.size() < MAX_PENDING) {
			open.pending.add(message);
		}
	}

	private Opened open(InstanceId to, long nowNanos) {
		return this.addresses.apply(to).map((address) -> {
			Opened open = new Opened(this.network.connect(address), nowNanos);
			this.opened.put(to, open);
			return open;
		}).orElse(null);
	}

	void closeIdle(long nowNanos) {
		this.opened.entrySet().removeIf((entry) -> {
			boolean idle = nowNanos - entry.getValue().usedNanos > IDLE_NANOS;
			if (idle) {
				entry.getValue().link.close();
				Optional.ofNullable(this.connections.remove(entry.getKey())).ifPresent(PeerConnection::close);
			}
			return idle;
		});
	}

	private static final class Opened {

		private final PeerNetwork.ReconnectHandle link;

		private final Deque<WireMessage> pending = new ArrayDeque<>();

		private long usedNanos;

		private Opened(PeerNetwork.ReconnectHandle link, long usedNanos) {
			this.link = link;
			this.usedNanos = usedNanos;
		}

	}

}
