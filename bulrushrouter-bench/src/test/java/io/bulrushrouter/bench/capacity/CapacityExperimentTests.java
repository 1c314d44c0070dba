package io.bulrushrouter.bench.capacity;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.bulrushrouter.bench.Experiment;
import io.bulrushrouter.kernel.plugin.PluginRegistry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class CapacityExperimentTests {

	private static final CountedSlopes SLOPES = CountedSlopes.of(CountedSlopes.Sizes.ofSmall());

	@Test
	void isRegistered() {
		assertThat(PluginRegistry.ofClassPath().find(Experiment.class, "capacity").isPresent()).isTrue();
	}

	@Test
	void fitsALineThroughItsPoints() {
		LinearFit fit = LinearFit.of("line", "size", new int[] { 1, 2, 4 }, (size) -> 3 + 2 * size);
		assertThat(fit.slope()).isWithin(1e-9).of(2);
		assertThat(fit.intercept()).isWithin(1e-9).of(3);
		assertThat(fit.residual()).isWithin(1e-9).of(0);
		assertThat(LinearFit.of("square", "size", new int[] { 1, 2, 4 }, (size) -> size * size).residual())
			.isGreaterThan(0.05);
	}

	@Test
	void printsEachFitOnce() {
		List<String> rows = SLOPES.fits().stream().map(LinearFit::row).toList();
		assertThat(rows).containsNoDuplicates();
		assertThat(rows).hasSize(CountedSlopes.class.getRecordComponents().length);
	}

	@Test
	void countedSlopesMatchTheDesign() {
		assertThat(SLOPES.leaseWrites().slope()).isWithin(0.05).of(0.2);
		assertThat(SLOPES.switchMessages().slope()).isWithin(0.01).of(4);
		assertThat(SLOPES.claimWrites().slope()).isWithin(2).of(20);
		assertThat(SLOPES.versionBytes().slope()).isAtLeast(1);
		assertThat(SLOPES.compressedConfiguration().slope()).isLessThan(SLOPES.configurationByOrganisation().slope());
	}

	@Test
	void budgetsAreDerivedFromTheSlopes() {
		List<Budget> budgets = Budget.of(SLOPES);
		Budget writes = budgets.get(budgets.size() - 1);
		assertThat(writes.used()).isWithin(1e-9).of(SLOPES.leaseWrites().valueAt(50) + SLOPES.claimWrites().valueAt(8));
		assertThat(Budget.reportBytesPerSecond(600, 400)).isWithin(1)
			.of(400 * (1 - Math.pow(1 - 1.0 / 400, 35)) * 2 * CountedSlopes.LOAD_REPORT_BYTES);
		assertThat(new Budget("", "", 10, 10).isWithinLimit()).isTrue();
		assertThat(new Budget("", "", 11, 10).isWithinLimit()).isFalse();
	}

	@Test
	void staysWithinThePlatformLimits() {
		Budget.of(SLOPES)
			.stream()
			.filter((budget) -> budget.role().equals("platform"))
			.forEach((budget) -> assertWithMessage(budget.row()).that(budget.isWithinLimit()).isTrue());
	}

	@ParameterizedTest
	@ValueSource(ints = { 8, 256 })
	void mapSwitchesCommit(int ranks) {
		assertThat(MapSwitchRun.run(ranks).committed()).isTrue();
	}

	@Test
	void measuredOperationsSucceed() {
		assertThat(TokenStream.throughEntry(10)).isTrue();
		assertThat(TokenStream.throughSidecar(10)).isTrue();
		assertThat(ClaimLoad.run(8, 2_100).granted()).isAtLeast(20_500);
		assertThat(EvacuationScenario.of(50).steps()).isNotEmpty();
	}

}
