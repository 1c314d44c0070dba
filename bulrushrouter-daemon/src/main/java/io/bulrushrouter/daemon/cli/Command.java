package io.bulrushrouter.daemon.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * One command of the command line.
 *
 * @param name its name
 * @param help what it does, in a line
 * @param arguments adds its arguments
 * @param action runs it and returns the exit code
 */
record Command(String name, String help, Arguments arguments, Action action) {

	/**
	 * Adds arguments to a command's parser.
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
