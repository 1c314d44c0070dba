package io.bulrushrouter.bench.path;

import java.util.List;

import io.bulrushrouter.bench.Experiment;
import io.bulrushrouter.kernel.plugin.Plugin;
import io.bulrushrouter.kernel.plugin.PluginProvider;

/**
 * Registers the experiments on the request path from entry to engine.
 */
public final class PathPlugins implements PluginProvider {

	@Override
	public List<Plugin<?>> plugins() {
		return List.of(Plugin.of(Experiment.class, "path-latency", new PathLatency()),
				Plugin.of(Experiment.class, "path-throughput", new PathThroughput()));
	}

}
