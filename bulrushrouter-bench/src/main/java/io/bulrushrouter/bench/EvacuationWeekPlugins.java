package io.bulrushrouter.bench;

import java.nio.file.Path;
import java.util.List;

import io.bulrushrouter.kernel.plugin.Plugin;
import io.bulrushrouter.kernel.plugin.PluginProvider;

/**
 * Registers {@code evacuation-week}, which writes its reports to
 * {@code docs/examples/evacuation-week} below the working directory, and
 * {@code evacuation-scale}.
 */
public final class EvacuationWeekPlugins implements PluginProvider {

	private static final Path REPORTS = Path.of("docs", "examples", "evacuation-week");

	@Override
	public List<Plugin<?>> plugins() {
		return List.of(Plugin.of(Experiment.class, "evacuation-week", (out) -> new EvacuationWeek(REPORTS).run(out)),
				Plugin.of(Experiment.class, "evacuation-scale", (out) -> new EvacuationScale().run(out)));
	}

}
