package io.bulrushrouter.daemon;

import io.bulrushrouter.daemon.cli.CommandLine;

/**
 * Entry point of the {@code bulrushrouter} program.
 */
public final class Main {

	private Main() {
	}

	/**
	 * Runs a command and exits the process with the command's exit code.
	 * @param args the command line arguments
	 */
	public static void main(String[] args) {
		System.exit(CommandLine.run(args));
	}

}
