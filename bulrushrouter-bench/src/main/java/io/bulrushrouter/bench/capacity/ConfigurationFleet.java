package io.bulrushrouter.bench.capacity;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import io.bulrushrouter.coordination.configuration.ConfigurationMessage;
import io.bulrushrouter.coordination.configuration.ConfigurationNode;
import io.bulrushrouter.coordination.configuration.Effects;
import io.bulrushrouter.coordination.configuration.PeerView;
import io.bulrushrouter.coordination.configuration.PropagationSettings;
import io.bulrushrouter.kernel.InstanceId;
import io.bulrushrouter.kernel.store.LiveInstance;

/**
 * Simulated configuration nodes. Messages arrive in order and without delay, and are
 * counted.
 */
final class ConfigurationFleet {

	private static final String SCOPE = "main";

	private static final Duration TICK = Duration.ofMillis(250);

	private static final int TICKS_PER_SECOND = 4;

	private static final int SETTLING_SECONDS = 40;

	private static final PropagationSettings SETTINGS = PropagationSettings.DEFAULT;

	private final Map<InstanceId, Node> nodes = new HashMap<>();

	private final Deque<InFlightMessage> network = new ArrayDeque<>();

	private final RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(1);

	private final List<Node> order = new ArrayList<>();

	private long now;

	private long version;

	ConfigurationFleet(int count) {
		List<LiveInstance> list = Inventory.instances(count);
		list.forEach((instance) -> this.order.add(new Node(instance, list)));
		this.order.forEach((node) -> this.nodes.put(node.id, node));
		publish(new byte[1]);
		runIdle(SETTLING_SECONDS);
	}

	/**
	 * Runs the nodes without a new version, so that they only compare versions.
	 * @param seconds the duration in seconds
	 */
	void runIdle(int seconds) {
		for (int tick = 0; tick < seconds * TICKS_PER_SECOND; tick++) {
			this.order.forEach((node) -> send(node, node.state.onTick(this.now, node.view, this.random)));
			deliver();
			this.now += TICK.toNanos();
		}
	}

	/**
	 * Passes a new version to the relays and delivers messages until none are in flight.
	 * @param body the encoded configuration
	 */
	void publish(byte[] body) {
		this.version++;
		ConfigurationMessage.Document document = new ConfigurationMessage.Document(SCOPE, this.version, body);
		this.order.stream()
			.filter((node) -> node.view.isRelay())
			.forEach((node) -> send(node, node.state.onStored(SCOPE, Optional.of(document), this.now, node.view)));
		deliver();
	}

	private void deliver() {
		while (!this.network.isEmpty()) {
			InFlightMessage sent = this.network.poll();
			Node to = this.nodes.get(sent.message().to());
			to.count(sent.message().message(), sent.bytes());
			send(to, to.state.onMessage(sent.from(), sent.message().message(), this.now, to.view));
		}
	}

	private void send(Node from, Effects effects) {
		effects.messages().forEach((message) -> {
			int bytes = FrameSizes.bytes((Record) message.message());
			from.count(message.message(), bytes);
			this.network.add(new InFlightMessage(from.id, message, bytes));
		});
	}

	/** Resets the message and byte counters of all nodes. */
	void resetCounters() {
		this.order.forEach(Node::reset);
	}

	double meanMessages() {
		return this.order.stream().mapToLong((node) -> node.messages).average().orElseThrow();
	}

	double meanBytes() {
		return this.order.stream().mapToLong((node) -> node.bytes).average().orElseThrow();
	}

	double maxBytes() {
		return this.order.stream().mapToLong((node) -> node.bytes).max().orElseThrow();
	}

	double maxDocuments() {
		return this.order.stream().mapToLong((node) -> node.documents).max().orElseThrow();
	}

	boolean allHaveLatestVersion() {
		return this.order.stream()
			.allMatch((node) -> node.state.inForce(SCOPE).filter((body) -> body.version() == this.version).isPresent());
	}

	private static final class Node {

		private final InstanceId id;

		private final ConfigurationNode state;

		private final PeerView view;

		private long messages;

		private long documents;

		private long bytes;

		private Node(LiveInstance instance, List<LiveInstance> list) {
			this.id = instance.instance();
			this.state = ConfigurationNode.of(this.id, Set.of(SCOPE), (document) -> Optional.empty(), SETTINGS);
			this.view = PeerView.of(this.id, instance.dataCentre(), list, SETTINGS);
		}

		private void count(ConfigurationMessage message, int size) {
			this.messages++;
			this.bytes += size;
			this.documents += (message instanceof ConfigurationMessage.Document) ? 1 : 0;
		}

		private void reset() {
			this.messages = 0;
			this.documents = 0;
			this.bytes = 0;
		}

	}

	private record InFlightMessage(InstanceId from, Effects.Outgoing message, int bytes) {
	}

}
