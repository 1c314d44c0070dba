package io.bulrushrouter.daemon;

import io.bulrushrouter.daemon.cli.CommandLine;

/**
 * The program.
 */
public final class Main {

	private Main() {
	}

	/**
	 * Runs a command and ends the process with its exit code.
	 * @param args the arguments
	 */
	public static void main(String[] args) {
		System.exit(CommandLine.run(args));
	}

}
