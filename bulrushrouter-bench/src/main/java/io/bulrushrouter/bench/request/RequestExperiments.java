package io.bulrushrouter.bench.request;

import java.util.List;

import io.bulrushrouter.bench.Experiment;
import io.bulrushrouter.kernel.plugin.Plugin;
import io.bulrushrouter.kernel.plugin.PluginProvider;

/**
 * Registers the experiments on retries and idempotency claims.
 */
public final class RequestExperiments implements PluginProvider {

	@Override
	public List<Plugin<?>> plugins() {
		return List.of(Plugin.of(Experiment.class, "retries", new RetriesExperiment()),
				Plugin.of(Experiment.class, "claims", new ClaimsExperiment()));
	}

}
