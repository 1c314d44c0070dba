package io.bulrushrouter.bench.request;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.bulrushrouter.bench.Experiment;
import io.bulrushrouter.kernel.plugin.PluginRegistry;

import static com.google.common.truth.Truth.assertThat;

/**
 * Runs the experiments on requests and checks their bounds.
 */
class RequestExperimentsTests {

	@ParameterizedTest
	@ValueSource(strings = { "retries", "claims" })
	void staysWithinItsBounds(String name) {
		Experiment experiment = PluginRegistry.ofClassPath().require(Experiment.class, name);
		assertThat(experiment.run(System.out)).isTrue();
	}

}
