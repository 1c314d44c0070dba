package io.bulrushrouter.bench.platform;

import java.util.Optional;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.bench.Experiment;
import io.bulrushrouter.kernel.plugin.PluginRegistry;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link PlatformBudgetExperiment}: the calls of all roles stay within the
 * rates that the platform sustains.
 */
class PlatformBudgetExperimentTests {

	@Test
	void staysWithinThePlatformsRates() {
		Optional<Experiment> experiment = PluginRegistry.ofClassPath().find(Experiment.class, "platform-budget");
		assertThat(experiment.orElseThrow().run(System.out)).isTrue();
	}

}
