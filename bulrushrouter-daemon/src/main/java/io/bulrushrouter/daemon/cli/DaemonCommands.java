package io.bulrushrouter.daemon.cli;

import java.nio.file.Path;
import java.util.List;

import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

import io.bulrushrouter.daemon.config.Configuration;
import io.bulrushrouter.daemon.demo.Demo;
import io.bulrushrouter.daemon.entry.EntryNode;
import io.bulrushrouter.daemon.entry.EntrySettings;
import io.bulrushrouter.daemon.node.LogSetup;
import io.bulrushrouter.daemon.sidecar.SidecarNode;
import io.bulrushrouter.daemon.sidecar.SidecarSettings;
import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.settings.Settings;

/**
 * The commands that run daemons or the demonstration, and check settings and
 * configurations.
 */
final class DaemonCommands {

	private static final String FILE = "file";

	private DaemonCommands() {
	}

	static List<Command> all() {
		return List.of(new Command("entry", "run an entry", DaemonCommands::settingsFile, DaemonCommands::entry),
				new Command("sidecar", "run a sidecar", DaemonCommands::settingsFile, DaemonCommands::sidecar),
				new Command("config", "check a daemon's settings or a configuration", DaemonCommands::configArguments,
						DaemonCommands::checkConfig),
				new Command("demo", "run a whole fleet in one process and check its promises",
						DaemonCommands::demoArguments, DaemonCommands::demo));
	}

	private static void settingsFile(Subparser parser) {
		parser.addArgument("--settings")
			.dest(FILE)
			.required(true)
			.metavar("FILE")
			.help("the settings file, in INI format");
	}

	private static void configArguments(Subparser parser) {
		parser.addArgument("verb").choices("check").help("the action");
		parser.addArgument(FILE).metavar("FILE").help("entry or sidecar settings (INI), or a configuration (JSON)");
	}

	private static void demoArguments(Subparser parser) {
		parser.addArgument("--serve")
			.action(Arguments.storeTrue())
			.help("keep serving after the run and print example requests");
		parser.addArgument("--json").action(Arguments.storeTrue()).help("print the results as JSON");
		parser.addArgument("--log-format")
			.choices("quiet", "human", "json")
			.setDefault("quiet")
			.help("the format of the decision log");
	}

	private static int entry(Namespace arguments) {
		EntrySettings settings = EntrySettings.of(Settings.ofFile(Path.of(arguments.getString(FILE))));
		LogSetup.configure(settings.process().logFormat());
		try (EntryNode node = EntryNode.start(settings)) {
			return GracefulShutdown.awaitSignal(node::drainAndWait);
		}
	}

	private static int sidecar(Namespace arguments) {
		SidecarSettings settings = SidecarSettings.of(Settings.ofFile(Path.of(arguments.getString(FILE))));
		LogSetup.configure(settings.process().logFormat());
		try (SidecarNode node = SidecarNode.start(settings)) {
			return GracefulShutdown.awaitSignal(node::drainAndWait);
		}
	}

	private static int checkConfig(Namespace arguments) {
		Path file = Path.of(arguments.getString(FILE));
		if (file.toString().endsWith(".json")) {
			Configuration.ofJson(CommandFiles.read(file));
		}
		else {
			checkSettings(Settings.ofFile(file));
		}
		System.out.println(file + ": ok");
		return ExitCode.DONE;
	}

	private static void checkSettings(Settings settings) {
		if (!settings.sections("callers").isEmpty()) {
			EntrySettings.of(settings);
		}
		else if (!settings.sections("upstream").isEmpty()) {
			SidecarSettings.of(settings);
		}
		else {
			throw new BulrushException(ErrorCode.BAD_SETTINGS,
					"the file has neither a section [callers] (entry) nor a section [upstream] (sidecar)");
		}
	}

	private static int demo(Namespace arguments) {
		LogSetup.configure(arguments.getString("log_format"));
		return Demo.run(System.out, arguments.getBoolean("json"), arguments.getBoolean("serve")) ? ExitCode.DONE
				: ExitCode.FAILED;
	}

}
