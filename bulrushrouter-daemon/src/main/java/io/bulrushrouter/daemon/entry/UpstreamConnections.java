package io.bulrushrouter.daemon.entry;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.bulrushrouter.daemon.config.Upstream;
import io.bulrushrouter.kernel.UpstreamId;
import io.bulrushrouter.wire.PeerConnection;
import io.bulrushrouter.wire.PeerNetwork;

/**
 * The entry's connections to the sidecars of the configured upstreams.
 */
final class UpstreamConnections {

	private final PeerNetwork network;

	private final Map<UpstreamId, Target> targets = new HashMap<>();

	private final Map<UpstreamId, PeerConnection> connections = new HashMap<>();

	UpstreamConnections(PeerNetwork network) {
		this.network = network;
	}

	/**
	 * Connects to new upstreams and closes the connections to those that were removed or
	 * whose address has changed.
	 * @param upstreams the configured upstreams
	 */
	void configure(List<Upstream> upstreams) {
		Set<UpstreamId> configured = upstreams.stream().map(Upstream::id).collect(Collectors.toSet());
		this.targets.entrySet().removeIf((entry) -> {
			boolean removed = !configured.contains(entry.getKey());
			if (removed) {
				entry.getValue().reconnectHandle().close();
			}
			return removed;
		});
		upstreams.forEach(this::connect);
	}

	private void connect(Upstream upstream) {
		InetSocketAddress address = upstream.socketAddress();
		Target current = this.targets.get(upstream.id());
		if (current != null && current.address().equals(address)) {
			return;
		}
		if (current != null) {
			current.reconnectHandle().close();
		}
		this.targets.put(upstream.id(), new Target(address, this.network.connect(address)));
	}

	/**
	 * Records a new connection.
	 * @param connection the connection
	 * @return the upstream whose sidecar is the peer
	 */
	UpstreamId connectionOpened(PeerConnection connection) {
		UpstreamId upstream = UpstreamId.of(connection.peer().name());
		this.connections.put(upstream, connection);
		return upstream;
	}

	/**
	 * Records that a connection was closed.
	 * @param connection the connection
	 * @return the upstream that is now without a connection, or empty if it has a newer
	 * one
	 */
	Optional<UpstreamId> connectionClosed(PeerConnection connection) {
		UpstreamId upstream = UpstreamId.of(connection.peer().name());
		return this.connections.remove(upstream, connection) ? Optional.of(upstream) : Optional.empty();
	}

	/**
	 * Returns the connection to an upstream's sidecar.
	 * @param upstream the upstream
	 * @return the connection, or empty if there is none
	 */
	Optional<PeerConnection> connection(UpstreamId upstream) {
		return Optional.ofNullable(this.connections.get(upstream));
	}

	/**
	 * Returns the upstreams whose sidecars are connected.
	 * @return the upstreams
	 */
	Set<UpstreamId> connectedUpstreams() {
		return Set.copyOf(this.connections.keySet());
	}

	private record Target(InetSocketAddress address, PeerNetwork.ReconnectHandle reconnectHandle) {
	}

}
