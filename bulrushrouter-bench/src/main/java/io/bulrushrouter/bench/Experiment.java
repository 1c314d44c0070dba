package io.bulrushrouter.bench;

import java.io.PrintStream;

/**
 * A run that prints figures for the docs. Experiments register themselves as plug-ins.
 */
@FunctionalInterface
public interface Experiment {

	/**
	 * Runs the experiment.
	 * @param out takes the tables, as Markdown
	 * @return whether all regression bounds hold
	 */
	boolean run(PrintStream out);

}
