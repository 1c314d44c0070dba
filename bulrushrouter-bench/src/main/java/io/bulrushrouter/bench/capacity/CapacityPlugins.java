package io.bulrushrouter.bench.capacity;

import java.util.List;

import io.bulrushrouter.bench.Experiment;
import io.bulrushrouter.kernel.plugin.Plugin;
import io.bulrushrouter.kernel.plugin.PluginProvider;

/**
 * Registers the capacity experiment.
 */
public final class CapacityPlugins implements PluginProvider {

	@Override
	public List<Plugin<?>> plugins() {
		return List.of(Plugin.of(Experiment.class, "capacity", new CapacityExperiment()));
	}

}
