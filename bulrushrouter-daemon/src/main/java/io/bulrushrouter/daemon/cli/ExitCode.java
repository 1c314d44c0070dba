package io.bulrushrouter.daemon.cli;

/**
 * The exit codes of all commands.
 */
public final class ExitCode {

	/** The command did what it was asked for. */
	public static final int DONE = 0;

	/** The command failed. */
	public static final int FAILED = 1;

	/** The arguments or the settings are wrong; nothing was done. */
	public static final int USAGE = 2;

	private ExitCode() {
	}

}
