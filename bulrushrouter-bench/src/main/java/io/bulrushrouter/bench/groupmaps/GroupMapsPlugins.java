package io.bulrushrouter.bench.groupmaps;

import java.util.List;

import io.bulrushrouter.bench.Experiment;
import io.bulrushrouter.kernel.plugin.Plugin;
import io.bulrushrouter.kernel.plugin.PluginProvider;

/**
 * Registers the group maps experiment.
 */
public final class GroupMapsPlugins implements PluginProvider {

	@Override
	public List<Plugin<?>> plugins() {
		return List.of(Plugin.of(Experiment.class, "group-maps", new GroupMapsExperiment()));
	}

}
