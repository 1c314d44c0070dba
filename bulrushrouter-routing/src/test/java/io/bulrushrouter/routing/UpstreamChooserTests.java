package io.bulrushrouter.routing;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.UpstreamId;
import io.bulrushrouter.kernel.plugin.Plugin;
import io.bulrushrouter.kernel.plugin.PluginRegistry;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link UpstreamChooser}.
 */
class UpstreamChooserTests {

	private static final int UPSTREAMS = 6;

	private final RandomGenerator random = new SplittableRandom(1);

	static Stream<UpstreamChooser> all() {
		return new RoutingPlugins().plugins().stream().map(Plugin::implementation).map(UpstreamChooser.class::cast);
	}

	@Test
	void registerUnderTheirNames() {
		PluginRegistry registry = PluginRegistry.ofClassPath();
		assertThat(registry.names(UpstreamChooser.class)).contains(RoutingPlugins.DEFAULT_CHOOSER);
	}

	@ParameterizedTest
	@MethodSource("all")
	void neverChooseOrProbeLeavingEjectedOrExcludedUpstreams(UpstreamChooser chooser) {
		UpstreamTable table = Fixtures.table(UPSTREAMS);
		table.markLeaving(Fixtures.upstream(0));
		table.trafficShare(Fixtures.upstream(1), 0);
		Set<UpstreamId> chosen = new HashSet<>();
		for (int i = 0; i < 2000; i++) {
			RouteQuery query = Fixtures.query(i).excluding(Fixtures.upstream(2));
			chosen.addAll(chooser.probes(query, table, i, this.random));
			chosen.add(chooser.choose(query, table, i, this.random).upstream().orElseThrow());
		}
		assertThat(chosen).containsExactly(Fixtures.upstream(3), Fixtures.upstream(4), Fixtures.upstream(5));
	}

	@ParameterizedTest
	@MethodSource("all")
	void giveTheReasonWhenNoUpstreamIsChosen(UpstreamChooser chooser) {
		UpstreamTable table = Fixtures.table(1);
		table.markLeaving(Fixtures.upstream(0));
		Choice none = chooser.choose(Fixtures.query(1), table, 0, this.random);
		assertThat(none).isEqualTo(Choice.ofNone(ChoiceReason.NONE_LIVE));
		UpstreamTable emptyTable = UpstreamTable.of(List.of(), CostModel.ofDefaults());
		assertThat(chooser.choose(Fixtures.query(1), emptyTable, 0, this.random))
			.isEqualTo(Choice.ofNone(ChoiceReason.UNKNOWN_MODEL));
		assertThat(table.upstreams(ModelId.of("other"))).isEmpty();
	}

	@ParameterizedTest
	@MethodSource("all")
	void limitAnUpstreamThatRampsUpToItsTrafficShare(UpstreamChooser chooser) {
		UpstreamTable table = Fixtures.table(2);
		table.trafficShare(Fixtures.upstream(0), 0.1);
		int chosenCount = 0;
		for (int i = 0; i < 2000; i++) {
			Choice choice = chooser.choose(Fixtures.query(i), table, i, this.random);
			chosenCount += choice.upstream().orElseThrow().equals(Fixtures.upstream(0)) ? 1 : 0;
		}
		assertThat(chosenCount).isGreaterThan(0);
		assertThat(chosenCount).isLessThan(500);
	}

	@Test
	void homeSetChoosesTheLowestCostAmongFreshReports() {
		UpstreamTable table = Fixtures.table(UPSTREAMS);
		UpstreamChooser chooser = HomeSetChooser.of(3, 1);
		RouteQuery query = Fixtures.query(7);
		List<UpstreamId> probes = chooser.probes(query, table, 0, this.random);
		for (int i = 0; i < probes.size(); i++) {
			table.reported(probes.get(i), Fixtures.report(1, (i == 1) ? 0 : 5000), 0);
		}
		Choice choice = chooser.choose(query, table, 1000, this.random);
		assertThat(choice.upstream()).hasValue(probes.get(1));
		assertThat(choice.reason()).isEqualTo(ChoiceReason.FRESHEST);
		assertThat(choice.candidates()).hasSize(probes.size());
	}

	@Test
	void homeSetPrefersACachedPrefixToAShorterQueue() {
		UpstreamTable table = Fixtures.table(UPSTREAMS);
		UpstreamChooser chooser = HomeSetChooser.of(3, 0);
		RouteQuery query = Fixtures.query(7);
		List<UpstreamId> probes = chooser.probes(query, table, 0, this.random);
		table.reported(probes.get(0), Fixtures.report(1, 0), 0);
		table.reported(probes.get(1), Fixtures.report(1, 500, new PrefixHint(7, 1000)), 0);
		table.reported(probes.get(2), Fixtures.report(1, 0), 0);
		assertThat(chooser.choose(query, table, 0, this.random).upstream()).hasValue(probes.get(1));
	}

	@Test
	void homeSetAvoidsHerdingOnOneIdleUpstream() {
		UpstreamChooser chooser = HomeSetChooser.of(3, 1);
		int[] choices = new int[18];
		for (int entry = 0; entry < 400; entry++) {
			UpstreamTable table = Fixtures.table(choices.length);
			for (int i = 0; i < choices.length; i++) {
				table.reported(Fixtures.upstream(i), Fixtures.report(1, (i == 0) ? 0 : 3000), 0);
			}
			UpstreamId chosen = chooser.choose(Fixtures.query(entry), table, Fixtures.SECOND, this.random)
				.upstream()
				.orElseThrow();
			choices[Integer.parseInt(chosen.value().substring(1))]++;
		}
		assertThat(choices[0]).isLessThan(200);
	}

}
