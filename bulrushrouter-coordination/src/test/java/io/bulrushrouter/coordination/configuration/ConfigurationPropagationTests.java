package io.bulrushrouter.coordination.configuration;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.InstanceId;

import static com.google.common.truth.Truth.assertThat;

/**
 * Propagation at the target size: 400 nodes in 11 data centres and 3 regions. Prints the
 * measurements listed in {@code docs/design/platform.md}.
 */
class ConfigurationPropagationTests {

	private static final int NODES = 400;

	private static final Duration MAX_PROPAGATION_TIME = Duration.ofSeconds(19);

	private static final int MAX_BYTES_PER_SECOND = 10_000;

	private static final double CHANGES_PER_SECOND = 1400.0 / 86_400;

	private static final int SEEDS = 5;

	private static final int IDLE_SECONDS = 60;

	private static final byte[] BODY = CompressedBody.compress(fullConfiguration());

	private static byte[] fullConfiguration() {
		Random random = new Random(1);
		StringBuilder text = new StringBuilder();
		IntStream.range(0, 1600)
			.forEach((index) -> text.append("{\"organisation\":\"organisation-" + index + "\",\"weight\":"
					+ random.nextInt(100) + ",\"tokensPerSecond\":" + random.nextInt(100_000) + ",\"key\":\""
					+ Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong()) + "\"}\n"));
		IntStream.range(0, 600)
			.forEach((index) -> text.append("{\"upstream\":\"runner-" + index + "\",\"model\":\"model-"
					+ random.nextInt(34) + "\",\"dataCentre\":\"dc" + index % 11 + "\",\"engine\":\"checks\"}\n"));
		return PropagationSimulation.text(text.toString());
	}

	@ParameterizedTest
	@EnumSource
	void isInForceEverywhereWithinTheLimit(Disturbance disturbance) {
		List<Figures> runs = IntStream.rangeClosed(1, SEEDS).mapToObj((seed) -> measure(disturbance, seed)).toList();
		Figures worst = runs.stream().reduce(Figures::worst).orElseThrow();
		System.out.printf("| %s | %d | %.2f s | %d | %d | %d | %.0f | %.0f | %d |%n", disturbance, worst.nodes(),
				worst.seconds(), worst.hops(), worst.messages(), worst.documents(), worst.idleBytesPerSecond(),
				worst.dailyAverageBytesPerSecond(), BODY.length);
		assertThat(worst.seconds()).isLessThan(MAX_PROPAGATION_TIME.toMillis() / 1e3);
		assertThat(worst.dailyAverageBytesPerSecond()).isLessThan(MAX_BYTES_PER_SECOND);
	}

	private static Figures measure(Disturbance disturbance, int seed) {
		PropagationSimulation simulation = new PropagationSimulation(NODES, PropagationSettings.DEFAULT, seed);
		simulation.publish(BODY);
		simulation.runFor(Duration.ofSeconds(20));
		long bytesBefore = maxBytes(simulation);
		simulation.runFor(Duration.ofSeconds(IDLE_SECONDS));
		double idleBytesPerSecond = (maxBytes(simulation) - bytesBefore) / (double) IDLE_SECONDS;
		long messages = simulation.messages();
		long documents = simulation.documents();
		long bytes = maxBytes(simulation);
		long version = simulation.publish(BODY);
		disturbance.apply(simulation);
		Optional<Duration> time = simulation.timeUntilAllHave(version, MAX_PROPAGATION_TIME);
		double changeBytes = maxBytes(simulation) - bytes;
		int hops = simulation.alive().stream().mapToInt(PropagationSimulation.SimulatedNode::hops).max().orElse(0);
		return new Figures(simulation.alive().size(),
				time.map((taken) -> taken.toMillis() / 1e3).orElse(Double.POSITIVE_INFINITY), hops,
				simulation.messages() - messages, simulation.documents() - documents, idleBytesPerSecond,
				idleBytesPerSecond + changeBytes * CHANGES_PER_SECOND);
	}

	@Test
	void lastChangeOfABurstIsInForceWithinTheLimit() {
		for (int seed = 1; seed <= SEEDS; seed++) {
			PropagationSimulation simulation = new PropagationSimulation(NODES, PropagationSettings.DEFAULT, seed);
			simulation.publish(BODY);
			simulation.runFor(Duration.ofSeconds(20));
			long version = 0;
			for (int change = 0; change < 20; change++) {
				simulation.runFor(Duration.ofMillis(500));
				version = simulation.publish(BODY);
			}
			Optional<Duration> time = simulation.timeUntilAllHave(version, MAX_PROPAGATION_TIME);
			System.out.println("last of 20 changes in 10 s, in force everywhere after " + time);
			assertThat(time.isPresent()).isTrue();
		}
	}

	@Test
	void relaysReportTheVersionOfEachNode() {
		PropagationSimulation simulation = new PropagationSimulation(NODES, PropagationSettings.DEFAULT, 1);
		long version = simulation.publish(BODY);
		simulation.runFor(Duration.ofSeconds(40));
		for (PropagationSimulation.SimulatedNode relay : simulation.alive()) {
			if (relay.view().isRelay()) {
				List<NodeStatus> shown = relay.state().statuses(Duration.ofSeconds(40).toNanos());
				long nodes = simulation.alive()
					.stream()
					.filter((node) -> node.dataCentreIndex() == relay.dataCentreIndex())
					.count();
				assertThat(shown).hasSize((int) nodes);
				shown.forEach((status) -> assertThat(status.scopes().get(0).inForce()).isEqualTo(version));
				shown.forEach((status) -> assertThat(status.ageMillis()).isAtMost(30_500));
			}
		}
	}

	@Test
	void refusedVersionLeavesThePreviousOneInForce() {
		InstanceId self = InstanceId.of("a");
		ConfigurationNode node = ConfigurationNode.of(self, Set.of("main"),
				(document) -> (document.version() == 2) ? Optional.of("unknown key") : Optional.empty(),
				PropagationSettings.DEFAULT);
		PeerView alone = PeerView.of(self, DataCentreId.of("dc"), List.of(), PropagationSettings.DEFAULT);
		for (long version : new long[] { 1, 2, 1, 2 }) {
			node.onStored("main", Optional.of(document(version)), 0, alone);
			assertThat(node.inForce("main").orElseThrow().version()).isEqualTo(1);
		}
		assertThat(node.status().refused()).containsExactly("main");
		assertThat(node.highestHandledVersion("main")).isEqualTo(2);
		Effects effects = node.onStored("main", Optional.of(document(3)), 0, alone);
		assertThat(effects.decisions().get(0)).isInstanceOf(Effects.Adopted.class);
		assertThat(node.status().refused()).isEmpty();
	}

	@Test
	void compressedBodyDecompressesToTheOriginal() {
		assertThat(CompressedBody.decompress(BODY).orElseThrow()).isEqualTo(fullConfiguration());
		assertThat(CompressedBody.decompress(new byte[] { 1, 2, 3 }).isPresent()).isFalse();
		byte[] huge = new byte[CompressedBody.MAX_CONTENT_BYTES + 1];
		assertThat(CompressedBody.decompress(CompressedBody.compress(huge)).isPresent()).isFalse();
	}

	private static ConfigurationMessage.Document document(long version) {
		return new ConfigurationMessage.Document("main", version, new byte[0]);
	}

	private static long maxBytes(PropagationSimulation simulation) {
		return simulation.alive().stream().mapToLong(PropagationSimulation.SimulatedNode::bytes).max().orElse(0);
	}

	record Figures(int nodes, double seconds, int hops, long messages, long documents, double idleBytesPerSecond,
			double dailyAverageBytesPerSecond) {

		private Figures worst(Figures other) {
			return new Figures(this.nodes, Math.max(this.seconds, other.seconds), Math.max(this.hops, other.hops),
					Math.max(this.messages, other.messages), Math.max(this.documents, other.documents),
					Math.max(this.idleBytesPerSecond, other.idleBytesPerSecond),
					Math.max(this.dailyAverageBytesPerSecond, other.dailyAverageBytesPerSecond));
		}

	}

	enum Disturbance {

		NONE {
			@Override
			void apply(PropagationSimulation simulation) {
				// No disturbance.
			}
		},

		LOSS_OF_ONE_IN_TWENTY {
			@Override
			void apply(PropagationSimulation simulation) {
				simulation.lossRate(0.05);
			}
		},

		LOSS_OF_ONE_IN_THREE {
			@Override
			void apply(PropagationSimulation simulation) {
				simulation.lossRate(0.33);
			}
		},

		HALF_OF_THE_RELAYS_DIE {
			@Override
			void apply(PropagationSimulation simulation) {
				List<InstanceId> relays = simulation.relays();
				IntStream.range(0, relays.size())
					.filter((index) -> index % 2 == 0)
					.forEach((index) -> simulation.kill(relays.get(index)));
			}
		},

		ALL_RELAYS_OF_TEN_DATA_CENTRES_DIE {
			@Override
			void apply(PropagationSimulation simulation) {
				simulation.listLag(Duration.ofSeconds(60));
				simulation.alive()
					.stream()
					.filter((node) -> node.view().isRelay() && node.dataCentreIndex() > 0)
					.forEach((node) -> simulation.kill(node.id()));
			}
		},

		STORE_DOWN_BUT_FOR_ONE_RELAY {
			@Override
			void apply(PropagationSimulation simulation) {
				InstanceId only = simulation.relays().get(0);
				simulation.relays().stream().filter((relay) -> !relay.equals(only)).forEach(simulation::kill);
				simulation.listLag(Duration.ofSeconds(60));
				simulation.schedule(Duration.ofMillis(6), () -> simulation.store().down(true));
			}
		},

		ONE_IN_FIVE_RESTARTS {
			@Override
			void apply(PropagationSimulation simulation) {
				List<PropagationSimulation.SimulatedNode> nodes = simulation.alive();
				IntStream.range(0, nodes.size())
					.filter((index) -> index % 5 == 0)
					.forEach((index) -> simulation.restart(nodes.get(index).id()));
			}
		};

		abstract void apply(PropagationSimulation simulation);

	}

}
