package io.bulrushrouter.ranks;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;

import io.netty.channel.EventLoop;

/**
 * The connections of this sidecar to the sidecars of other ranks. All sidecars listen on
 * the same port.
 */
final class PeerClients {

	private final EventLoop loop;

	private final int peerPort;

	private final Map<InetAddress, PeerClient> clients = new HashMap<>();

	PeerClients(EventLoop loop, int peerPort) {
		this.loop = loop;
		this.peerPort = peerPort;
	}

	/**
	 * Returns the client of the sidecar on an instance. It connects when it is first
	 * used.
	 * @param instance the address of the instance
	 * @return the client
	 */
	PeerClient at(InetAddress instance) {
		return this.clients.computeIfAbsent(instance,
				(address) -> new PeerClient(this.loop, new InetSocketAddress(address, this.peerPort)));
	}

}
