package io.bulrushrouter.bench;

import java.util.List;

import io.bulrushrouter.kernel.plugin.Plugin;
import io.bulrushrouter.kernel.plugin.PluginProvider;

/**
 * Registers the experiments on routing, fairness and limits.
 */
public final class RoutingExperiments implements PluginProvider {

	@Override
	public List<Plugin<?>> plugins() {
		return List.of(Plugin.of(Experiment.class, "choice", new ChoiceExperiment()),
				Plugin.of(Experiment.class, "fairness", new FairnessExperiment()),
				Plugin.of(Experiment.class, "limits", new LimitsExperiment()));
	}

}
