package io.bulrushrouter.coordination.configuration;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

import io.bulrushrouter.coordination.lease.DutyPlacement;
import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.InstanceId;
import io.bulrushrouter.kernel.store.LiveInstance;

/**
 * One node's view of its peers, computed from the list of instances: the relays of its
 * data centre, its children in the data centre's propagation tree, and the peers with
 * which it exchanges digests. The list may be out of date; differing lists only slow down
 * propagation.
 */
public final class PeerView {

	private static final String DUTY = "configuration-relay";

	private static final double REMOTE_PEER_PROBABILITY = 0.25;

	private final List<InstanceId> relays;

	private final List<InstanceId> children;

	private final List<InstanceId> local;

	private final List<InstanceId> remote;

	private final boolean relay;

	private PeerView(InstanceId self, List<InstanceId> ranked, List<InstanceId> remote, PropagationSettings settings) {
		List<InstanceId> roots = ranked.stream().limit(settings.relays()).toList();
		this.relay = roots.contains(self);
		this.relays = others(self, roots);
		this.children = children(ranked.indexOf(self), ranked, settings);
		this.local = others(self, ranked);
		this.remote = remote;
	}

	/**
	 * Computes a node's view.
	 * @param self the node
	 * @param dataCentre the node's data centre
	 * @param instances the instances of all data centres
	 * @param settings the number of relays and the fan-out
	 * @return the view
	 */
	public static PeerView of(InstanceId self, DataCentreId dataCentre, List<LiveInstance> instances,
			PropagationSettings settings) {
		List<InstanceId> ranked = DutyPlacement.preferred(DUTY, dataCentre, instances, instances.size())
			.stream()
			.map(LiveInstance::instance)
			.toList();
		List<InstanceId> remote = instances.stream()
			.filter((instance) -> !instance.dataCentre().equals(dataCentre) && !instance.leaving())
			.map(LiveInstance::instance)
			.toList();
		return new PeerView(self, ranked, remote, settings);
	}

	private static List<InstanceId> others(InstanceId self, List<InstanceId> all) {
		return all.stream().filter((other) -> !other.equals(self)).toList();
	}

	// The relays are the roots. The children of the node at position i are the fanOut
	// nodes from position relays + i * fanOut.
	private static List<InstanceId> children(int position, List<InstanceId> ranked, PropagationSettings settings) {
		if (position < 0) {
			return List.of();
		}
		int first = settings.relays() + position * settings.fanOut();
		return IntStream.range(first, Math.min(first + settings.fanOut(), ranked.size()))
			.mapToObj(ranked::get)
			.toList();
	}

	/**
	 * Returns whether the node is a relay, which watches the platform for its data
	 * centre.
	 * @return {@code true} if it is a relay
	 */
	public boolean isRelay() {
		return this.relay;
	}

	/**
	 * Returns the other relays of the node's data centre.
	 * @return the relays
	 */
	public List<InstanceId> relays() {
		return this.relays;
	}

	/**
	 * Returns the nodes to notify of a new version.
	 * @return the node's children in the propagation tree
	 */
	public List<InstanceId> children() {
		return this.children;
	}

	/**
	 * Returns the number of other nodes.
	 * @return the number of peers in all data centres
	 */
	public int peerCount() {
		return this.local.size() + this.remote.size();
	}

	/**
	 * Returns a random peer to exchange digests with, usually one of the same data
	 * centre.
	 * @param random the source of randomness
	 * @return the peer, or empty if there is none
	 */
	public Optional<InstanceId> randomPeer(RandomGenerator random) {
		boolean useRemote = this.local.isEmpty()
				|| (!this.remote.isEmpty() && random.nextDouble() < REMOTE_PEER_PROBABILITY);
		List<InstanceId> pool = useRemote ? this.remote : this.local;
		return pool.isEmpty() ? Optional.empty() : Optional.of(pool.get(random.nextInt(pool.size())));
	}

	/**
	 * Returns the peers to query when joining: the relays first, then other peers in
	 * random order.
	 * @param limit the maximum number of peers
	 * @param random the source of randomness
	 * @return the peers, without duplicates
	 */
	public List<InstanceId> joinPeers(int limit, RandomGenerator random) {
		List<InstanceId> others = new ArrayList<>(this.local);
		others.addAll(this.remote);
		others.removeAll(this.relays);
		Collections.shuffle(others, new Random(random.nextLong()));
		List<InstanceId> chosen = new ArrayList<>(this.relays);
		chosen.addAll(others);
		return chosen.stream().limit(limit).toList();
	}

}
