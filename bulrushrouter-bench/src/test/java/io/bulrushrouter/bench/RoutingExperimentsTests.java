package io.bulrushrouter.bench;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import io.bulrushrouter.kernel.plugin.PluginRegistry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Runs the routing experiments with shorter simulated times and checks their bounds.
 */
class RoutingExperimentsTests {

	private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

	private final PrintStream out = new PrintStream(this.bytes, true, StandardCharsets.UTF_8);

	static Stream<ChoiceScenario> boundScenarios() {
		return ChoiceExperiment.boundScenarios(30).stream();
	}

	private void assertWithinBounds(boolean withinBounds) {
		assertWithMessage(this.bytes.toString(StandardCharsets.UTF_8)).that(withinBounds).isTrue();
	}

	@Test
	void areRegistered() {
		assertThat(PluginRegistry.ofClassPath().names(Experiment.class)).containsAtLeast("choice", "fairness",
				"limits");
	}

	@ParameterizedTest
	@MethodSource("boundScenarios")
	void homeSetKeepsItsBounds(ChoiceScenario scenario) {
		assertWithinBounds(ChoiceExperiment.checkBounds(this.out, scenario,
				ChoiceExperiment.runAndPrintTable(this.out, scenario, 1)));
	}

	@Test
	void fairQueueKeepsItsBounds() {
		assertWithinBounds(FairnessExperiment.checkBounds(this.out, 120, 2, ChoiceScenario.UPSTREAMS));
	}

	@Test
	void limitsKeepTheirBounds() {
		assertWithinBounds(LimitsExperiment.checkBounds(this.out, 150, ChoiceScenario.ENTRIES));
	}

}
