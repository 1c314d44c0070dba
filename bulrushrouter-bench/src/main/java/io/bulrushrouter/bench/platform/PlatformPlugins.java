package io.bulrushrouter.bench.platform;

import java.util.List;

import io.bulrushrouter.bench.Experiment;
import io.bulrushrouter.kernel.plugin.Plugin;
import io.bulrushrouter.kernel.plugin.PluginProvider;

/**
 * Registers the experiment on platform call budgets.
 */
public final class PlatformPlugins implements PluginProvider {

	@Override
	public List<Plugin<?>> plugins() {
		return List.of(Plugin.of(Experiment.class, "platform-budget", new PlatformBudgetExperiment()));
	}

}
