package io.bulrushrouter.daemon.cli;

/**
 * The exit codes of all commands.
 */
public final class ExitCode {

	/** The command succeeded. */
	public static final int DONE = 0;

	/** The command failed. */
	public static final int FAILED = 1;

	/** The arguments or settings are invalid; the command did nothing. */
	public static final int USAGE = 2;

	private ExitCode() {
	}

}
