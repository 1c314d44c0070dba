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
 * The spread at the target size: 400 nodes in 11 data centres and 3 regions. Prints the
 * figures of {@code docs/design/platform.md}.
 */
class ConfigurationSpreadTests {

	private static final int NODES = 400;

	private static final Duration BOUND = Duration.ofSeconds(19);

	private static final int BYTES_PER_SECOND_BOUND = 10_000;

	private static final double CHANGES_PER_SECOND = 1400.0 / 86_400;

	private static final int SEEDS = 5;

	private static final int REST_SECONDS = 60;

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
		return SpreadSimulation.text(text.toString());
	}

	@ParameterizedTest
	@EnumSource
	void isInForceEverywhereInTime(Disturbance disturbance) {
		List<Figures> runs = IntStream.rangeClosed(1, SEEDS).mapToObj((seed) -> measure(disturbance, seed)).toList();
		Figures worst = runs.stream().reduce(Figures::worse).orElseThrow();
		System.out.printf("| %s | %d | %.2f s | %d | %d | %d | %.0f | %.0f | %d |%n", disturbance, worst.nodes(),
				worst.seconds(), worst.hops(), worst.messages(), worst.documents(), worst.restRate(), worst.dayRate(),
				BODY.length);
		assertThat(worst.seconds()).isLessThan(BOUND.toMillis() / 1e3);
		assertThat(worst.dayRate()).isLessThan(BYTES_PER_SECOND_BOUND);
	}

	private static Figures measure(Disturbance disturbance, int seed) {
		SpreadSimulation simulation = new SpreadSimulation(NODES, SpreadTerms.DEFAULT, seed);
		simulation.accept(BODY);
		simulation.runFor(Duration.ofSeconds(20));
		long bytesBefore = maxBytes(simulation);
		simulation.runFor(Duration.ofSeconds(REST_SECONDS));
		double restRate = (maxBytes(simulation) - bytesBefore) / (double) REST_SECONDS;
		long messages = simulation.messages();
		long documents = simulation.documents();
		long bytes = maxBytes(simulation);
		long version = simulation.accept(BODY);
		disturbance.apply(simulation);
		Optional<Duration> time = simulation.timeToAll(version, BOUND);
		double changeBytes = maxBytes(simulation) - bytes;
		int hops = simulation.alive().stream().mapToInt(SpreadSimulation.SimulatedNode::depth).max().orElse(0);
		return new Figures(simulation.alive().size(),
				time.map((taken) -> taken.toMillis() / 1e3).orElse(Double.POSITIVE_INFINITY), hops,
				simulation.messages() - messages, simulation.documents() - documents, restRate,
				restRate + changeBytes * CHANGES_PER_SECOND);
	}

	@Test
	void lastOfABurstIsInForceInTime() {
		for (int seed = 1; seed <= SEEDS; seed++) {
			SpreadSimulation simulation = new SpreadSimulation(NODES, SpreadTerms.DEFAULT, seed);
			simulation.accept(BODY);
			simulation.runFor(Duration.ofSeconds(20));
			long version = 0;
			for (int change = 0; change < 20; change++) {
				simulation.runFor(Duration.ofMillis(500));
				version = simulation.accept(BODY);
			}
			Optional<Duration> time = simulation.timeToAll(version, BOUND);
			System.out.println("last of 20 changes in 10 s, in force everywhere after " + time);
			assertThat(time.isPresent()).isTrue();
		}
	}

	@Test
	void relaysShowTheVersionOfEachNode() {
		SpreadSimulation simulation = new SpreadSimulation(NODES, SpreadTerms.DEFAULT, 1);
		long version = simulation.accept(BODY);
		simulation.runFor(Duration.ofSeconds(40));
		for (SpreadSimulation.SimulatedNode relay : simulation.alive()) {
			if (relay.view().isRelay()) {
				List<NodeStatus> shown = relay.state().statuses(Duration.ofSeconds(40).toNanos());
				long nodes = simulation.alive().stream().filter((node) -> node.centre() == relay.centre()).count();
				assertThat(shown).hasSize((int) nodes);
				shown.forEach((status) -> assertThat(status.scopes().get(0).inForce()).isEqualTo(version));
				shown.forEach((status) -> assertThat(status.ageMillis()).isAtMost(30_500));
			}
		}
	}

	@Test
	void refusedVersionLeavesTheOneBeforeInForce() {
		InstanceId self = InstanceId.of("a");
		ConfigurationNode node = ConfigurationNode.of(self, Set.of("main"),
				(document) -> (document.version() == 2) ? Optional.of("unknown key") : Optional.empty(),
				SpreadTerms.DEFAULT);
		PeerView alone = PeerView.of(self, DataCentreId.of("dc"), List.of(), SpreadTerms.DEFAULT);
		for (long version : new long[] { 1, 2, 1, 2 }) {
			node.onStored("main", Optional.of(document(version)), 0, alone);
			assertThat(node.inForce("main").orElseThrow().version()).isEqualTo(1);
		}
		assertThat(node.status().refused()).containsExactly("main");
		assertThat(node.newsAbove("main")).isEqualTo(2);
		Effects effects = node.onStored("main", Optional.of(document(3)), 0, alone);
		assertThat(effects.decisions().get(0)).isInstanceOf(Effects.Adopted.class);
		assertThat(node.status().refused()).isEmpty();
	}

	@Test
	void compressedBodyExpandsToTheSame() {
		assertThat(CompressedBody.expand(BODY).orElseThrow()).isEqualTo(fullConfiguration());
		assertThat(CompressedBody.expand(new byte[] { 1, 2, 3 }).isPresent()).isFalse();
		byte[] huge = new byte[CompressedBody.MAX_CONTENT_BYTES + 1];
		assertThat(CompressedBody.expand(CompressedBody.compress(huge)).isPresent()).isFalse();
	}

	private static ConfigurationMessage.Document document(long version) {
		return new ConfigurationMessage.Document("main", version, new byte[0]);
	}

	private static long maxBytes(SpreadSimulation simulation) {
		return simulation.alive().stream().mapToLong(SpreadSimulation.SimulatedNode::bytes).max().orElse(0);
	}

	record Figures(int nodes, double seconds, int hops, long messages, long documents, double restRate,
			double dayRate) {

		private Figures worse(Figures other) {
			return new Figures(this.nodes, Math.max(this.seconds, other.seconds), Math.max(this.hops, other.hops),
					Math.max(this.messages, other.messages), Math.max(this.documents, other.documents),
					Math.max(this.restRate, other.restRate), Math.max(this.dayRate, other.dayRate));
		}

	}

	enum Disturbance {

		NONE {
			@Override
			void apply(SpreadSimulation simulation) {
				// Nothing goes wrong.
			}
		},

		LOSS_OF_ONE_IN_TWENTY {
			@Override
			void apply(SpreadSimulation simulation) {
				simulation.loss(0.05);
			}
		},

		LOSS_OF_ONE_IN_THREE {
			@Override
			void apply(SpreadSimulation simulation) {
				simulation.loss(0.33);
			}
		},

		HALF_OF_THE_RELAYS_DIE {
			@Override
			void apply(SpreadSimulation simulation) {
				List<InstanceId> relays = simulation.relays();
				IntStream.range(0, relays.size())
					.filter((index) -> index % 2 == 0)
					.forEach((index) -> simulation.kill(relays.get(index)));
			}
		},

		ALL_RELAYS_OF_TEN_DATA_CENTRES_DIE {
			@Override
			void apply(SpreadSimulation simulation) {
				simulation.listLag(Duration.ofSeconds(60));
				simulation.alive()
					.stream()
					.filter((node) -> node.view().isRelay() && node.centre() > 0)
					.forEach((node) -> simulation.kill(node.id()));
			}
		},

		STORE_DOWN_BUT_FOR_ONE_RELAY {
			@Override
			void apply(SpreadSimulation simulation) {
				InstanceId only = simulation.relays().get(0);
				simulation.relays().stream().filter((relay) -> !relay.equals(only)).forEach(simulation::kill);
				simulation.listLag(Duration.ofSeconds(60));
				simulation.schedule(Duration.ofMillis(6), () -> simulation.store().down(true));
			}
		},

		ONE_IN_FIVE_RESTARTS {
			@Override
			void apply(SpreadSimulation simulation) {
				List<SpreadSimulation.SimulatedNode> nodes = simulation.alive();
				IntStream.range(0, nodes.size())
					.filter((index) -> index % 5 == 0)
					.forEach((index) -> simulation.restart(nodes.get(index).id()));
			}
		};

		abstract void apply(SpreadSimulation simulation);

	}

}
