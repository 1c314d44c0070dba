package io.bulrushrouter.coordination.configuration;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import io.bulrushrouter.kernel.InstanceId;
import io.bulrushrouter.kernel.store.ReadResult;

import static com.google.common.truth.Truth.assertThat;

/**
 * Injects each fault at several moments of a propagation. Checks that no node reverts to
 * an older version and that all nodes reach the newest version once the fault is cleared.
 */
class ConfigurationFaultTests {

	private static final int NODES = 66;

	private static final Duration CONVERGENCE_TIMEOUT = Duration.ofSeconds(40);

	private static final long PLATFORM_TIMEOUT_NANOS = PropagationSettings.DEFAULT.platformTimeout().toNanos();

	private static final AtomicInteger cells = new AtomicInteger();

	@AfterAll
	static void printCells() {
		System.out.println("configuration fault cells run: " + cells.get());
	}

	static Stream<Cell> cells() {
		return Stream.of(Fault.values())
			.flatMap((fault) -> IntStream.of(0, 4, 6, 8, 12, 40, 500, 1500)
				.boxed()
				.flatMap((millis) -> IntStream.range(0, 4).mapToObj((seed) -> new Cell(fault, millis, seed))));
	}

	@ParameterizedTest
	@MethodSource("cells")
	void neverRevertsToAnOlderVersion(Cell cell) {
		cells.incrementAndGet();
		PropagationSimulation simulation = new PropagationSimulation(NODES, PropagationSettings.DEFAULT, cell.seed());
		simulation.lossRate(0.02);
		simulation.publish(PropagationSimulation.text("first"));
		simulation.runFor(Duration.ofSeconds(25));
		long second = simulation.publish(PropagationSimulation.text("second"));
		simulation.runFor(Duration.ofMillis(cell.millis()));
		Set<PropagationSimulation.SimulatedNode> observedNodes = new HashSet<>(simulation.alive());
		cell.fault().inject(simulation);
		observedNodes.addAll(simulation.alive());
		simulation.runFor(Duration.ofSeconds(10));
		List<PropagationSimulation.SimulatedNode> restarted = restartSome(simulation, cell.seed());
		observedNodes.addAll(restarted);
		simulation.runFor(Duration.ofSeconds(20));
		observedNodes.forEach(ConfigurationFaultTests::assertNeverReverted);
		cell.fault().clear(simulation);
		assertThat(simulation.timeUntilAllHave(second, CONVERGENCE_TIMEOUT).isPresent()).isTrue();
		long third = simulation.publish(PropagationSimulation.text("third"));
		assertThat(simulation.timeUntilAllHave(third, CONVERGENCE_TIMEOUT).isPresent()).isTrue();
		observedNodes.forEach(ConfigurationFaultTests::assertNeverReverted);
		restarted.forEach(
				(node) -> assertThat(node.versionWhenReady()).isAtLeast(node.predecessor().orElseThrow().version()));
	}

	private static List<PropagationSimulation.SimulatedNode> restartSome(PropagationSimulation simulation, int seed) {
		return simulation.alive()
			.stream()
			.filter((node) -> (node.id().hashCode() + seed) % 7 == 0)
			.map((node) -> simulation.restart(node.id()))
			.toList();
	}

	private static void assertNeverReverted(PropagationSimulation.SimulatedNode node) {
		assertThat(node.versions()).isInStrictOrder();
		assertThat(node.versionWhenReady()).isAtLeast(node.highestHeardWhenReady());
	}

	@Test
	void noNodeServesWithoutThePlatformOrReadyPeers() {
		PropagationSimulation simulation = new PropagationSimulation(NODES, PropagationSettings.DEFAULT, 1);
		simulation.publish(PropagationSimulation.text("first"));
		simulation.runFor(Duration.ofSeconds(5));
		simulation.store().down(true);
		List<InstanceId> all = simulation.alive().stream().map(PropagationSimulation.SimulatedNode::id).toList();
		all.forEach(simulation::restart);
		simulation.runFor(Duration.ofSeconds(60));
		assertThat(simulation.alive().stream().noneMatch(PropagationSimulation.SimulatedNode::isReady)).isTrue();
		simulation.store().down(false);
		assertThat(simulation.timeUntilAllHave(1, CONVERGENCE_TIMEOUT).isPresent()).isTrue();
	}

	@Test
	void waitsForAKnownVersionItDoesNotHave() {
		InstanceId self = InstanceId.of("a");
		ConfigurationNode node = ConfigurationNode.of(self, Set.of("main"), (document) -> Optional.empty(),
				PropagationSettings.DEFAULT);
		PropagationSimulation simulation = new PropagationSimulation(NODES, PropagationSettings.DEFAULT, 1);
		PeerView view = simulation.alive().get(0).view();
		node.onTick(0, view, new Random(1));
		node.onMessage(self, new ConfigurationMessage.Document("main", 4, new byte[0]), 0, view);
		List<ScopeState> equal = List.of(new ScopeState("main", 4, 4));
		List<ScopeState> higher = List.of(new ScopeState("main", 4, 5));
		for (int peer = 0; peer < 9; peer++) {
			node.onMessage(InstanceId.of("u" + peer), new ConfigurationMessage.Digest(false, false, equal),
					PLATFORM_TIMEOUT_NANOS, view);
			assertThat(node.isReady()).isFalse();
		}
		for (int peer = 0; peer < 9; peer++) {
			node.onMessage(InstanceId.of("e" + peer), new ConfigurationMessage.Digest(true, false, equal),
					PLATFORM_TIMEOUT_NANOS - 1, view);
			assertThat(node.isReady()).isFalse();
		}
		for (int peer = 0; peer < 9; peer++) {
			node.onMessage(InstanceId.of("p" + peer), new ConfigurationMessage.Digest(true, false, higher),
					PLATFORM_TIMEOUT_NANOS, view);
			assertThat(node.isReady()).isFalse();
		}
		node.onMessage(self, new ConfigurationMessage.Document("main", 5, new byte[0]), PLATFORM_TIMEOUT_NANOS, view);
		assertThat(node.isReady()).isTrue();
	}

	@Test
	void waitsForEnoughReadyPeers() {
		ConfigurationNode node = ConfigurationNode.of(InstanceId.of("a"), Set.of("main"),
				(document) -> Optional.empty(), PropagationSettings.DEFAULT);
		PeerView view = new PropagationSimulation(NODES, PropagationSettings.DEFAULT, 1).alive().get(0).view();
		node.onTick(0, view, new Random(1));
		node.onMessage(InstanceId.of("p1"), new ConfigurationMessage.Document("main", 4, new byte[0]),
				PLATFORM_TIMEOUT_NANOS, view);
		for (int peer = 1; peer <= PropagationSettings.DEFAULT.minReadyPeers(); peer++) {
			assertThat(node.isReady()).isFalse();
			List<ScopeState> states = List.of(new ScopeState("main", 4, 4));
			node.onMessage(InstanceId.of("p" + peer), new ConfigurationMessage.Digest(true, false, states),
					PLATFORM_TIMEOUT_NANOS, view);
			node.onMessage(InstanceId.of("p1"), new ConfigurationMessage.Digest(true, false, states),
					PLATFORM_TIMEOUT_NANOS, view);
		}
		assertThat(node.isReady()).isTrue();
	}

	@Test
	void ignoresOutdatedPeersWhileThePlatformAnswers() {
		PropagationSimulation simulation = new PropagationSimulation(NODES, PropagationSettings.DEFAULT, 1);
		simulation.publish(PropagationSimulation.text("first"));
		simulation.runFor(Duration.ofSeconds(10));
		simulation.partitioned((from, to) -> true);
		long second = simulation.publish(PropagationSimulation.text("second"));
		simulation.runFor(Duration.ofSeconds(1));
		InstanceId relay = simulation.relays().get(0);
		simulation.partitioned((from, to) -> simulation.relays().contains(from) && !from.equals(relay));
		simulation.storeLatency(Duration.ofMillis(500));
		PropagationSimulation.SimulatedNode after = simulation.restart(relay);
		simulation.runFor(Duration.ofSeconds(1));
		assertThat(after.predecessor().orElseThrow().version()).isEqualTo(second);
		assertThat(after.versionWhenReady()).isEqualTo(second);
	}

	@Test
	void unavailableStoreIsNotAnAnswer() {
		RelayWatch watch = RelayWatch.of("main");
		assertThat(watch.next(false, 0).orElseThrow()).isEqualTo(RelayWatch.RequestKind.READ);
		assertThat(watch.answered(new ReadResult.Unavailable("outage"), 0).isPresent()).isFalse();
		long later = Duration.ofSeconds(2).toNanos();
		assertThat(watch.next(false, later).orElseThrow()).isEqualTo(RelayWatch.RequestKind.READ);
		assertThat(watch.answered(new ReadResult.Absent(), later).orElseThrow().document().isPresent()).isFalse();
		assertThat(watch.next(false, later).isPresent()).isFalse();
		assertThat(watch.next(true, later).orElseThrow()).isEqualTo(RelayWatch.RequestKind.WATCH);
		assertThat(watch.answered(new ReadResult.Absent(), later).isPresent()).isFalse();
	}

	record Cell(Fault fault, int millis, int seed) {

	}

	enum Fault {

		STORE_DOWN, RELAYS_DIE, HALF_RESTARTS, ENTRIES_CUT_FROM_RELAYS, RELAYS_CUT_FROM_STORE, DATA_CENTRE_CUT_OFF,
		HEAVY_LOSS, STORE_DOWN_AND_RELAYS_RESTART;

		void inject(PropagationSimulation simulation) {
			List<InstanceId> relays = simulation.relays();
			switch (this) {
				case STORE_DOWN -> simulation.store().down(true);
				case RELAYS_DIE -> relays.forEach(simulation::kill);
				case HALF_RESTARTS -> simulation.alive()
					.stream()
					.map(PropagationSimulation.SimulatedNode::id)
					.filter((id) -> id.hashCode() % 2 == 0)
					.forEach(simulation::restart);
				case ENTRIES_CUT_FROM_RELAYS ->
					simulation.partitioned((from, to) -> relays.contains(from) != relays.contains(to));
				case RELAYS_CUT_FROM_STORE -> simulation.partitionedFromStore((node) -> !node.equals(relays.get(0)));
				case DATA_CENTRE_CUT_OFF -> {
					Set<InstanceId> inside = new HashSet<>(simulation.alive()
						.stream()
						.filter((node) -> node.dataCentreIndex() == 1)
						.map(PropagationSimulation.SimulatedNode::id)
						.toList());
					simulation.partitioned((from, to) -> inside.contains(from) != inside.contains(to));
				}
				case HEAVY_LOSS -> simulation.lossRate(0.4);
				case STORE_DOWN_AND_RELAYS_RESTART -> {
					simulation.store().down(true);
					relays.forEach(simulation::restart);
				}
			}
		}

		void clear(PropagationSimulation simulation) {
			simulation.store().down(false);
			simulation.partitioned((from, to) -> false);
			simulation.partitionedFromStore((node) -> false);
			simulation.lossRate(0.02);
		}

	}

}
