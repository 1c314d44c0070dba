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
 * One node's place among the others, computed from the lagging list of instances: the
 * relays of its data centre, its children in the data centre's tree, and the peers to
 * compare with. Nodes whose lists differ only lose speed.
 */
public final class PeerView {

	private static final String DUTY = "configuration-relay";

	private static final double REMOTE_PEER_PROBABILITY = 0.25;

	private final List<InstanceId> relays;

	private final List<InstanceId> children;

	private final List<InstanceId> local;

	private final List<InstanceId> remote;

	private final boolean relay;

	private PeerView(InstanceId self, List<InstanceId> ranked, List<InstanceId> foreign, PropagationSettings terms) {
		List<InstanceId> roots = ranked.stream().limit(terms.relays()).toList();
		this.relay = roots.contains(self);
		this.relays = others(self, roots);
		this.children = children(ranked.indexOf(self), ranked, terms);
		this.local = others(self, ranked);
		this.remote = foreign;
	}

	/**
	 * Returns a node's view.
	 * @param self the node
	 * @param dataCentre the node's data centre
	 * @param instances the instances of all data centres
	 * @param settings the sizes of the spread
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

	// The relays are the roots; the node at place i has the places from
	// relays + i * fanOut on as children.
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
	 * Tells whether the node should watch the platform for its data centre.
	 * @return whether it is a relay
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
	 * Returns the nodes to tell of a new version.
	 * @return the children in the tree
	 */
	public List<InstanceId> children() {
		return this.children;
	}

	/**
	 * Returns how many other nodes there are.
	 * @return the count
	 */
	public int peerCount() {
		return this.local.size() + this.remote.size();
	}

	/**
	 * Returns a node to compare with, mostly of the same data centre.
	 * @param random the source of the choice
	 * @return the node, or empty if there is no other
	 */
	public Optional<InstanceId> randomPeer(RandomGenerator random) {
		boolean useRemote = this.local.isEmpty()
				|| (!this.remote.isEmpty() && random.nextDouble() < REMOTE_PEER_PROBABILITY);
		List<InstanceId> pool = useRemote ? this.remote : this.local;
		return pool.isEmpty() ? Optional.empty() : Optional.of(pool.get(random.nextInt(pool.size())));
	}

	/**
	 * Returns the nodes to ask when joining: the relays, then others in random order.
	 * @param limit the most nodes
	 * @param random the source of the choice
	 * @return the nodes, without repeats
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
