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
import io.bulrushrouter.kernel.store.Versioned;
import io.bulrushrouter.kernel.store.Write;
import io.bulrushrouter.kernel.store.WriterMark;
import io.bulrushrouter.standin.MemoryObjectStore;

/**
 * Many nodes in one process, with a simulated clock, network and list of instances.
 */
final class SpreadSimulation {

	static final String SCOPE = "main";

	private static final long TICK_NANOS = Duration.ofMillis(250).toNanos();

	private static final int FRAME_BYTES = 60;

	private static final int DATA_CENTRES = 11;

	private static final int REGIONS = 3;

	private static final ObjectMapper JSON = new ObjectMapper();

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final Random random;

	private final SpreadTerms terms;

	private final Map<InstanceId, SimulatedNode> nodes = new LinkedHashMap<>();

	private final MemoryObjectStore store = new MemoryObjectStore();

	private List<LiveInstance> listed;

	private long storeNanos = Duration.ofMillis(5).toNanos();

	private Duration listLag = Duration.ofSeconds(10);

	private double loss;

	private BiPredicate<InstanceId, InstanceId> cut = (from, to) -> false;

	private Predicate<InstanceId> cutFromStore = (node) -> false;

	private long now;

	private long sequence;

	private long messages;

	private long documents;

	SpreadSimulation(int count, SpreadTerms terms, long seed) {
		this.random = new Random(seed);
		this.terms = terms;
		this.listed = IntStream.range(0, count)
			.mapToObj((index) -> new LiveInstance(InstanceId.of("n" + index),
					DataCentreId.of("dc" + index % DATA_CENTRES), "entry", "10.0.0.1:" + index, false))
			.toList();
		this.listed.forEach((instance) -> boot(instance));
	}

	private SimulatedNode boot(LiveInstance instance) {
		SimulatedNode node = new SimulatedNode(instance, this.terms, this.listed);
		this.nodes.put(instance.instance(), node);
		long phase = (long) (this.random.nextDouble() * TICK_NANOS);
		at(phase, () -> tick(node));
		return node;
	}

	private void tick(SimulatedNode node) {
		if (node.dead) {
			return;
		}
		run(node, node.state.onTick(this.now, node.view, this.random), 0);
		node.watch.next(node.view.isRelay(), this.now).ifPresent((ask) -> ask(node, ask));
		at(TICK_NANOS, () -> tick(node));
	}

	private void ask(SimulatedNode node, RelayWatch.Ask ask) {
		if (this.cutFromStore.test(node.id())) {
			at(this.storeNanos, () -> stored(node, new ReadResult.Unavailable("cut")));
			return;
		}
		CompletionStage<ReadResult> answer = (ask == RelayWatch.Ask.READ) ? this.store.read(RelayWatch.keyOf(SCOPE))
				: this.store.watch(RelayWatch.keyOf(SCOPE), node.state.newsAbove(SCOPE), RelayWatch.WAIT);
		at(RelayWatch.WAIT.toNanos(), () -> this.store.cancelWatch(answer));
		answer.thenAccept((result) -> at(this.storeNanos, () -> stored(node, result)));
	}

	private void stored(SimulatedNode node, ReadResult result) {
		if (!node.dead) {
			node.watch.answered(result, this.now)
				.ifPresent((told) -> run(node, node.state.onStored(told.scope(), told.document(), this.now, node.view),
						1));
		}
	}

	private void run(SimulatedNode node, Effects effects, int depth) {
		effects.decisions().forEach((decision) -> node.note(decision, this.now, depth));
		effects.messages().forEach((outgoing) -> send(node, outgoing, depth));
	}

	private void send(SimulatedNode from, Effects.Outgoing outgoing, int depth) {
		int bytes = bytes(outgoing.message());
		this.messages++;
		this.documents += (outgoing.message() instanceof ConfigurationMessage.Document) ? 1 : 0;
		from.bytes += bytes;
		SimulatedNode to = this.nodes.get(outgoing.to());
		if (to == null || this.random.nextDouble() < this.loss || this.cut.test(from.id(), to.id())) {
			return;
		}
		at(latency(from, to), () -> {
			SimulatedNode receiver = this.nodes.get(outgoing.to());
			if (!receiver.dead) {
				receiver.bytes += bytes;
				receiver.hear(outgoing.message());
				run(receiver, receiver.state.onMessage(from.id(), outgoing.message(), this.now, receiver.view),
						depth + 1);
			}
		});
	}

	private long latency(SimulatedNode from, SimulatedNode to) {
		int fromCentre = from.centre();
		int toCentre = to.centre();
		double millis = (fromCentre == toCentre) ? 0.5 : ((fromCentre % REGIONS == toCentre % REGIONS) ? 2 : 60);
		return (long) (millis * 1e6 * (1 + this.random.nextDouble()));
	}

	private static int bytes(ConfigurationMessage message) {
		if (message instanceof ConfigurationMessage.Document document) {
			return document.body().length + FRAME_BYTES;
		}
		try {
			return JSON.writeValueAsBytes(message).length + FRAME_BYTES;
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private void at(long delayNanos, Runnable action) {
		this.events.add(new Event(this.now + delayNanos, this.sequence++, action));
	}

	void schedule(Duration delay, Runnable action) {
		at(delay.toNanos(), action);
	}

	void runFor(Duration time) {
		long end = this.now + time.toNanos();
		while (!this.events.isEmpty() && this.events.peek().at() <= end) {
			Event event = this.events.poll();
			this.now = event.at();
			event.action().run();
		}
		this.now = end;
	}

	long accept(byte[] body) {
		ReadResult read = this.store.read(RelayWatch.keyOf(SCOPE)).toCompletableFuture().join();
		long before = (read instanceof ReadResult.Found found) ? found.object().version() : Write.ABSENT;
		WriterMark mark = new WriterMark("w" + before);
		this.store.write(new Write(RelayWatch.keyOf(SCOPE), before, body, mark));
		Versioned after = ((ReadResult.Found) this.store.read(RelayWatch.keyOf(SCOPE)).toCompletableFuture().join())
			.object();
		return after.version();
	}

	void kill(InstanceId id) {
		this.nodes.get(id).dead = true;
		schedule(this.listLag,
				() -> list(this.listed.stream()
					.filter((instance) -> !this.nodes.get(instance.instance()).dead || !instance.instance().equals(id))
					.toList()));
	}

	private void list(List<LiveInstance> list) {
		this.listed = list;
		this.nodes.values()
			.forEach((node) -> schedule(Duration.ofMillis(this.random.nextInt(5000)), () -> node.look(list)));
	}

	SimulatedNode restart(InstanceId id) {
		SimulatedNode before = this.nodes.get(id);
		before.dead = true;
		SimulatedNode after = boot(before.instance);
		after.earlier = Optional.of(before);
		return after;
	}

	Optional<Duration> timeToAll(long version, Duration limit) {
		long start = this.now;
		while (this.now - start < limit.toNanos()) {
			runFor(Duration.ofMillis(10));
			if (alive().stream().allMatch((node) -> node.version() >= version)) {
				return Optional.of(Duration.ofNanos(this.now - start));
			}
		}
		return Optional.empty();
	}

	List<SimulatedNode> alive() {
		return this.nodes.values().stream().filter((node) -> !node.dead).toList();
	}

	List<InstanceId> relays() {
		return alive().stream().filter((node) -> node.view.isRelay()).map(SimulatedNode::id).toList();
	}

	void storeLatency(Duration latency) {
		this.storeNanos = latency.toNanos();
	}

	void listLag(Duration lag) {
		this.listLag = lag;
	}

	void loss(double share) {
		this.loss = share;
	}

	void cut(BiPredicate<InstanceId, InstanceId> pairs) {
		this.cut = pairs;
	}

	void cutFromStore(Predicate<InstanceId> chosen) {
		this.cutFromStore = chosen;
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
	 * A node and what was seen of it.
	 */
	final class SimulatedNode {

		private final LiveInstance instance;

		private final SpreadTerms terms;

		private final ConfigurationNode state;

		private final RelayWatch watch = RelayWatch.of(SCOPE);

		private final List<Long> versions = new ArrayList<>();

		private Optional<SimulatedNode> earlier = Optional.empty();

		private Optional<Long> readyAt = Optional.empty();

		private PeerView view;

		private long heard;

		private long heardWhenReady;

		private long versionWhenReady;

		private long bytes;

		private int depth;

		private boolean dead;

		private SimulatedNode(LiveInstance instance, SpreadTerms terms, List<LiveInstance> list) {
			this.instance = instance;
			this.terms = terms;
			this.state = ConfigurationNode.of(instance.instance(), Set.of(SCOPE), (document) -> Optional.empty(),
					terms);
			look(list);
		}

		private void look(List<LiveInstance> list) {
			this.view = PeerView.of(id(), this.instance.dataCentre(), list, this.terms);
		}

		private void hear(ConfigurationMessage message) {
			if (message instanceof ConfigurationMessage.Digest digest) {
				this.heard = digest.scopes().stream().mapToLong(ScopeState::inForce).reduce(this.heard, Math::max);
			}
		}

		private void note(Effects.Decision decision, long at, int hops) {
			if (decision instanceof Effects.Adopted adopted) {
				this.versions.add(adopted.document().version());
				this.depth = hops;
			}
			else if (decision instanceof Effects.Ready) {
				this.readyAt = Optional.of(at);
				this.heardWhenReady = this.heard;
				this.versionWhenReady = version();
			}
		}

		InstanceId id() {
			return this.instance.instance();
		}

		int centre() {
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

		Optional<SimulatedNode> earlier() {
			return this.earlier;
		}

		boolean isReady() {
			return this.readyAt.isPresent();
		}

		long version() {
			return this.state.inForce(SCOPE).map(ConfigurationMessage.Document::version).orElse(0L);
		}

		long heardWhenReady() {
			return this.heardWhenReady;
		}

		long versionWhenReady() {
			return this.versionWhenReady;
		}

		long bytes() {
			return this.bytes;
		}

		int depth() {
			return this.depth;
		}

	}

	private record Event(long at, long order, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Long.compare(this.at, other.at);
			return (byTime != 0) ? byTime : Long.compare(this.order, other.order);
		}

	}

}
