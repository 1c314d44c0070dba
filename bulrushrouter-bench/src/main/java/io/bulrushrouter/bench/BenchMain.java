package io.bulrushrouter.bench;

import java.util.List;
import java.util.Optional;

import io.bulrushrouter.kernel.plugin.PluginRegistry;

/**
 * Command line that runs experiments by name ({@code bench NAME...}) or lists them. Exits
 * with 1 if a bound is missed, and with 2 if a name is unknown.
 */
public final class BenchMain {

	private BenchMain() {
	}

	/**
	 * Runs the named experiments, or lists all experiments if no name is given.
	 * @param args the names of the experiments
	 */
	public static void main(String[] args) {
		PluginRegistry registry = PluginRegistry.ofClassPath();
		if (args.length == 0) {
			registry.names(Experiment.class).forEach(System.out::println);
			return;
		}
		boolean withinBounds = true;
		for (String name : List.of(args)) {
			Optional<Experiment> experiment = registry.find(Experiment.class, name);
			if (experiment.isEmpty()) {
				System.err.println("no experiment named " + name);
				System.exit(2);
			}
			withinBounds &= experiment.get().run(System.out);
		}
		System.exit(withinBounds ? 0 : 1);
	}

}
