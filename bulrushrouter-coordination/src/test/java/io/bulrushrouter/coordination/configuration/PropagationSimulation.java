package io.bulrushrouter.coordination.configuration;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import java.util.stream.IntStream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.InstanceId;
import io.bulrushrouter.kernel.store.LiveInstance;
import io.bulrushrouter.kernel.store.ReadResult;
import io.bulrushrouter.kernel.store.VersionedObject;
import io.bulrushrouter.kernel.store.Write;
import io.bulrushrouter.kernel.store.WriteId;
import io.bulrushrouter.standin.MemoryObjectStore;

/**
 * Simulates many nodes in one process, with a simulated clock, network and list of
 * instances.
 */
final class PropagationSimulation {

	static final String SCOPE = "main";

	private static final long TICK_NANOS = Duration.ofMillis(250).toNanos();

	private static final int FRAME_OVERHEAD_BYTES = 60;

	private static final int DATA_CENTRES = 11;

	private static final int REGIONS = 3;

	private static final ObjectMapper JSON = new ObjectMapper();

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final Random random;

	private final PropagationSettings settings;

	private final Map<InstanceId, SimulatedNode> nodes = new LinkedHashMap<>();

	private final MemoryObjectStore store = new MemoryObjectStore();

	private List<LiveInstance> instances;

	private long storeLatencyNanos = Duration.ofMillis(5).toNanos();

	private Duration listLag = Duration.ofSeconds(10);

	private double lossRate;

	private BiPredicate<InstanceId, InstanceId> partitioned = (from, to) -> false;

	private Predicate<InstanceId> partitionedFromStore = (node) -> false;

	private long nowNanos;

	private long sequence;

	private long messages;

	private long documents;

	PropagationSimulation(int count, PropagationSettings settings, long seed) {
		this.random = new Random(seed);
		this.settings = settings;
		this.instances = IntStream.range(0, count)
			.mapToObj((index) -> new LiveInstance(InstanceId.of("n" + index),
					DataCentreId.of("dc" + index % DATA_CENTRES), "entry", "10.0.0.1:" + index, false))
			.toList();
		this.instances.forEach((instance) -> startNode(instance));
	}

	private SimulatedNode startNode(LiveInstance instance) {
		SimulatedNode node = new SimulatedNode(instance, this.settings, this.instances);
		this.nodes.put(instance.instance(), node);
		long phase = (long) (this.random.nextDouble() * TICK_NANOS);
		after(phase, () -> tick(node));
		return node;
	}

	private void tick(SimulatedNode node) {
		if (node.stopped) {
			return;
		}
		apply(node, node.state.onTick(this.nowNanos, node.view, this.random), 0);
		node.watch.next(node.view.isRelay(), this.nowNanos).ifPresent((kind) -> query(node, kind));
		after(TICK_NANOS, () -> tick(node));
	}

	private void query(SimulatedNode node, RelayWatch.RequestKind kind) {
		if (this.partitionedFromStore.test(node.id())) {
			after(this.storeLatencyNanos, () -> answerFromStore(node, new ReadResult.Unavailable("cut")));
			return;
		}
		CompletionStage<ReadResult> answer = (kind == RelayWatch.RequestKind.READ)
				? this.store.read(RelayWatch.keyOf(SCOPE)) : this.store.watch(RelayWatch.keyOf(SCOPE),
						node.state.highestHandledVersion(SCOPE), RelayWatch.WATCH_TIMEOUT);
		after(RelayWatch.WATCH_TIMEOUT.toNanos(), () -> this.store.cancelWatch(answer));
		answer.thenAccept((result) -> after(this.storeLatencyNanos, () -> answerFromStore(node, result)));
	}

	private void answerFromStore(SimulatedNode node, ReadResult result) {
		if (!node.stopped) {
			node.watch.answered(result, this.nowNanos)
				.ifPresent((stored) -> apply(node,
						node.state.onStored(stored.scope(), stored.document(), this.nowNanos, node.view), 1));
		}
	}

	private void apply(SimulatedNode node, Effects effects, int depth) {
		effects.decisions().forEach((decision) -> node.recordDecision(decision, this.nowNanos, depth));
		effects.messages().forEach((outgoing) -> send(node, outgoing, depth));
	}

	private void send(SimulatedNode from, Effects.Outgoing outgoing, int depth) {
		int bytes = bytes(outgoing.message());
		this.messages++;
		this.documents += (outgoing.message() instanceof ConfigurationMessage.Document) ? 1 : 0;
		from.bytes += bytes;
		SimulatedNode to = this.nodes.get(outgoing.to());
		if (to == null || this.random.nextDouble() < this.lossRate || this.partitioned.test(from.id(), to.id())) {
			return;
		}
		after(latency(from, to), () -> {
			SimulatedNode receiver = this.nodes.get(outgoing.to());
			if (!receiver.stopped) {
				receiver.bytes += bytes;
				receiver.recordMessage(outgoing.message());
				apply(receiver, receiver.state.onMessage(from.id(), outgoing.message(), this.nowNanos, receiver.view),
						depth + 1);
			}
		});
	}

	private long latency(SimulatedNode from, SimulatedNode to) {
		int fromCentre = from.dataCentreIndex();
		int toCentre = to.dataCentreIndex();
		double millis = (fromCentre == toCentre) ? 0.5 : ((fromCentre % REGIONS == toCentre % REGIONS) ? 2 : 60);
		return (long) (millis * 1e6 * (1 + this.random.nextDouble()));
	}

	private static int bytes(ConfigurationMessage message) {
		if (message instanceof ConfigurationMessage.Document document) {
			return document.body().length + FRAME_OVERHEAD_BYTES;
		}
		try {
			return JSON.writeValueAsBytes(message).length + FRAME_OVERHEAD_BYTES;
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private void after(long delayNanos, Runnable action) {
		this.events.add(new Event(this.nowNanos + delayNanos, this.sequence++, action));
	}

	void schedule(Duration delay, Runnable action) {
		after(delay.toNanos(), action);
	}

	void runFor(Duration time) {
		long end = this.nowNanos + time.toNanos();
		while (!this.events.isEmpty() && this.events.peek().atNanos() <= end) {
			Event event = this.events.poll();
			this.nowNanos = event.atNanos();
			event.action().run();
		}
		this.nowNanos = end;
	}

	long publish(byte[] body) {
		ReadResult read = this.store.read(RelayWatch.keyOf(SCOPE)).toCompletableFuture().join();
		long before = (read instanceof ReadResult.Found found) ? found.object().version() : Write.ABSENT;
		WriteId writeId = new WriteId("w" + before);
		this.store.write(new Write(RelayWatch.keyOf(SCOPE), before, body, writeId));
		VersionedObject after = ((ReadResult.Found) this.store.read(RelayWatch.keyOf(SCOPE))
			.toCompletableFuture()
			.join()).object();
		return after.version();
	}

	void kill(InstanceId id) {
		this.nodes.get(id).stopped = true;
		schedule(this.listLag, () -> publishInstances(this.instances.stream()
			.filter((instance) -> !this.nodes.get(instance.instance()).stopped || !instance.instance().equals(id))
			.toList()));
	}

	private void publishInstances(List<LiveInstance> list) {
		this.instances = list;
		this.nodes.values()
			.forEach((node) -> schedule(Duration.ofMillis(this.random.nextInt(5000)), () -> node.updateView(list)));
	}

	SimulatedNode restart(InstanceId id) {
		SimulatedNode before = this.nodes.get(id);
		before.stopped = true;
		SimulatedNode after = startNode(before.instance);
		after.predecessor = Optional.of(before);
		return after;
	}

	Optional<Duration> timeUntilAllHave(long version, Duration limit) {
		long start = this.nowNanos;
		while (this.nowNanos - start < limit.toNanos()) {
			runFor(Duration.ofMillis(10));
			if (alive().stream().allMatch((node) -> node.version() >= version)) {
				return Optional.of(Duration.ofNanos(this.nowNanos - start));
			}
		}
		return Optional.empty();
	}

	List<SimulatedNode> alive() {
		return this.nodes.values().stream().filter((node) -> !node.stopped).toList();
	}

	List<InstanceId> relays() {
		return alive().stream().filter((node) -> node.view.isRelay()).map(SimulatedNode::id).toList();
	}

	void storeLatency(Duration latency) {
		this.storeLatencyNanos = latency.toNanos();
	}

	void listLag(Duration lag) {
		this.listLag = lag;
	}

	void lossRate(double rate) {
		this.lossRate = rate;
	}

	void partitioned(BiPredicate<InstanceId, InstanceId> pairs) {
		this.partitioned = pairs;
	}

	void partitionedFromStore(Predicate<InstanceId> chosen) {
		this.partitionedFromStore = chosen;
	}

	MemoryObjectStore store() {
		return this.store;
	}

	long messages() {
		return this.messages;
	}

	long documents() {
		return this.documents;
	}

	static byte[] text(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * A simulated node and the observations recorded about it.
	 */
	final class SimulatedNode {

		private final LiveInstance instance;

		private final PropagationSettings settings;

		private final ConfigurationNode state;

		private final RelayWatch watch = RelayWatch.of(SCOPE);

		private final List<Long> versions = new ArrayList<>();

		private Optional<SimulatedNode> predecessor = Optional.empty();

		private Optional<Long> readyAtNanos = Optional.empty();

		private PeerView view;

		private long highestHeard;

		private long highestHeardWhenReady;

		private long versionWhenReady;

		private long bytes;

		private int hops;

		private boolean stopped;

		private SimulatedNode(LiveInstance instance, PropagationSettings settings, List<LiveInstance> list) {
			this.instance = instance;
			this.settings = settings;
			this.state = ConfigurationNode.of(instance.instance(), Set.of(SCOPE), (document) -> Optional.empty(),
					settings);
			updateView(list);
		}

		private void updateView(List<LiveInstance> instances) {
			this.view = PeerView.of(id(), this.instance.dataCentre(), instances, this.settings);
		}

		private void recordMessage(ConfigurationMessage message) {
			if (message instanceof ConfigurationMessage.Digest digest) {
				this.highestHeard = digest.scopes()
					.stream()
					.mapToLong(ScopeState::inForce)
					.reduce(this.highestHeard, Math::max);
			}
		}

		private void recordDecision(Effects.Decision decision, long at, int hops) {
			if (decision instanceof Effects.Adopted adopted) {
				this.versions.add(adopted.document().version());
				this.hops = hops;
			}
			else if (decision instanceof Effects.Ready) {
				this.readyAtNanos = Optional.of(at);
				this.highestHeardWhenReady = this.highestHeard;
				this.versionWhenReady = version();
			}
		}

		InstanceId id() {
			return this.instance.instance();
		}

		int dataCentreIndex() {
			return Integer.parseInt(this.instance.dataCentre().value().substring(2));
		}

		ConfigurationNode state() {
			return this.state;
		}

		PeerView view() {
			return this.view;
		}

		List<Long> versions() {
			return this.versions;
		}

		Optional<SimulatedNode> predecessor() {
			return this.predecessor;
		}

		boolean isReady() {
			return this.readyAtNanos.isPresent();
		}

		long version() {
			return this.state.inForce(SCOPE).map(ConfigurationMessage.Document::version).orElse(0L);
		}

		long highestHeardWhenReady() {
			return this.highestHeardWhenReady;
		}

		long versionWhenReady() {
			return this.versionWhenReady;
		}

		long bytes() {
			return this.bytes;
		}

		int hops() {
			return this.hops;
		}

	}

	private record Event(long atNanos, long sequence, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Long.compare(this.atNanos, other.atNanos);
			return (byTime != 0) ? byTime : Long.compare(this.sequence, other.sequence);
		}

	}

}
