package io.bulrushrouter.bench;

import java.io.PrintStream;

/**
 * An experiment that prints figures for the documentation. Experiments register
 * themselves as plug-ins.
 */
@FunctionalInterface
public interface Experiment {

	/**
	 * Runs the experiment.
	 * @param out receives the tables, in Markdown
	 * @return whether all regression bounds hold
	 */
	boolean run(PrintStream out);

}
