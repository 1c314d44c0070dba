package io.bulrushrouter.bench.experts;

import java.util.List;

import io.bulrushrouter.bench.Experiment;
import io.bulrushrouter.kernel.plugin.Plugin;
import io.bulrushrouter.kernel.plugin.PluginProvider;

/**
 * Registers the expert map planner experiment.
 */
public final class ExpertsPlugins implements PluginProvider {

	@Override
	public List<Plugin<?>> plugins() {
		return List.of(Plugin.of(Experiment.class, "experts", new ExpertsExperiment()));
	}

}
