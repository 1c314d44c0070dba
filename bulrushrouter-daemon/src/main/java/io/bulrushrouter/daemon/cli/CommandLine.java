package io.bulrushrouter.daemon.cli;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;

/**
 * Parses the command line and runs the selected command.
 */
public final class CommandLine {

	private static final String ACTION = "action";

	private static final Set<ErrorCode> USAGE_CODES = Set.of(ErrorCode.BAD_SETTINGS, ErrorCode.PORT_IN_USE,
			ErrorCode.PLUGIN_MISSING);

	private CommandLine() {
	}

	/**
	 * Runs the command selected by the arguments.
	 * @param arguments the command line arguments
	 * @return the exit code, as listed in {@link ExitCode}
	 */
	public static int run(String[] arguments) {
		ArgumentParser parser = parser();
		try {
			Namespace namespace = parser.parseArgs(arguments);
			Command.Action action = namespace.get(ACTION);
			return action.run(namespace);
		}
		catch (HelpScreenException ex) {
			return ExitCode.DONE;
		}
		catch (ArgumentParserException ex) {
			PrintWriter errors = new PrintWriter(System.err, true);
			parser.handleError(ex, errors);
			return ExitCode.USAGE;
		}
		catch (BulrushException ex) {
			System.err.println("bulrushrouter: " + ex.getMessage());
			return USAGE_CODES.contains(ex.code()) ? ExitCode.USAGE : ExitCode.FAILED;
		}
	}

	private static ArgumentParser parser() {
		ArgumentParser parser = ArgumentParsers.newFor("bulrushrouter")
			.build()
			.defaultHelp(true)
			.description("Load balancer for expert-parallel model groups.")
			.version("bulrushrouter " + version());
		parser.addArgument("--version").action(Arguments.version()).help("print the version");
		Subparsers subparsers = parser.addSubparsers().title("commands").metavar("COMMAND").dest("command");
		List<Command> commands = new ArrayList<>(DaemonCommands.all());
		commands.addAll(AdminCommands.all());
		commands.addAll(StandinCommands.all());
		commands.forEach((command) -> add(subparsers, command));
		return parser;
	}

	private static void add(Subparsers subparsers, Command command) {
		Subparser subparser = subparsers.addParser(command.name(), true)
			.help(command.help())
			.description(command.help() + ".")
			.setDefault(ACTION, command.action());
		command.arguments().addTo(subparser);
	}

	private static String version() {
		String version = CommandLine.class.getPackage().getImplementationVersion();
		return (version != null) ? version : "development";
	}

}
