package io.bulrushrouter.daemon.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * A command of the command line.
 *
 * @param name its name
 * @param help a one-line description
 * @param arguments declares its arguments
 * @param action runs it and returns the exit code
 */
record Command(String name, String help, Arguments arguments, Action action) {

	/**
	 * Declares the arguments of a command.
	 */
	@FunctionalInterface
	interface Arguments {

		/**
		 * Adds the arguments.
		 * @param parser the command's parser
		 */
		void addTo(Subparser parser);

	}

	/**
	 * Runs a command.
	 */
	@FunctionalInterface
	interface Action {

		/**
		 * Runs the command.
		 * @param arguments the parsed arguments
		 * @return the exit code
		 */
		int run(Namespace arguments);

	}

}
