package io.bulrushrouter.launcher;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.Optional;
import java.util.random.RandomGenerator;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.gateway.node.Gateway;
import io.bulrushrouter.gateway.node.GatewaySettings;
import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.plugin.PluginRegistry;
import io.bulrushrouter.kernel.settings.Settings;
import io.bulrushrouter.ranks.RankSettings;
import io.bulrushrouter.ranks.RankSidecar;

/**
 * The command line entry point, which runs a gateway or a rank sidecar.
 */
public final class Main {

	/** Exit code for a process that can no longer serve. */
	private static final int FAILURE = 1;

	/** Exit code for invalid arguments or settings. */
	private static final int USAGE_ERROR = 2;

	private static final String GATEWAY = "gateway";

	private static final String RANK = "rank";

	private static final String LOAD_CLASSES = "load-classes";

	private Main() {
	}

	/**
	 * Runs the given role until a signal stops the process.
	 * @param args the command line arguments
	 */
	public static void main(String[] args) {
		System.exit(run(args));
	}

	private static int run(String[] args) {
		if (args.length > 0 && args[0].equals(ExplainCommand.NAME)) {
			return ExplainCommand.run(Arrays.copyOfRange(args, 1, args.length), System.out);
		}
		ArgumentParser parser = ArgumentParsers.newFor("bulrushrouter-launcher")
			.build()
			.description("Runs a gateway, or the sidecar that balances the experts of a rank group. The command "
					+ ExplainCommand.NAME + " asks a gateway where a request would go.");
		parser.addArgument("role").choices(GATEWAY, RANK, LOAD_CLASSES).help("the role to run");
		parser.addArgument("--settings").metavar("FILE").help("the INI file with the settings");
		parser.addArgument("--settings-from")
			.metavar("VARIABLE")
			.help("the environment variable that contains the path of the INI file");
		LogSetup logSetup = LogSetup.install();
		try {
			Namespace arguments = parser.parseArgs(args);
			if (arguments.getString("role").equals(LOAD_CLASSES)) {
				CdsTrainingRun.run();
				return 0;
			}
			Path file = settingsFile(arguments);
			if (arguments.getString("role").equals(RANK)) {
				runRankSidecar(file);
			}
			else {
				runGateway(file);
			}
			return 0;
		}
		catch (ArgumentParserException ex) {
			parser.handleError(ex);
			return USAGE_ERROR;
		}
		catch (BulrushException ex) {
			logger().error("event=failed code={} detail=\"{}\"", ex.code().text(), ex.getMessage());
			return (ex.code() == ErrorCode.INTERNAL) ? FAILURE : USAGE_ERROR;
		}
		finally {
			logSetup.close();
		}
	}

	private static Path settingsFile(Namespace arguments) throws ArgumentParserException {
		Optional<String> path = Optional.ofNullable(arguments.getString("settings"))
			.or(() -> Optional.ofNullable(arguments.getString("settings_from")).map(System::getenv));
		return path.map(Path::of)
			.orElseThrow(() -> new ArgumentParserException("--settings or --settings-from is required", null));
	}

	private static void runGateway(Path file) {
		GatewaySettings settings = GatewaySettings.of(Settings.ofFile(file));
		try (Gateway gateway = Gateway.start(settings, PluginRegistry.ofClassPath(), RandomGenerator.getDefault());
				SettingsWatcher<GatewaySettings> watcher = SettingsWatcher.of(file, GatewaySettings::of, settings,
						gateway::reload)) {
			Signals.handle(gateway::stop, watcher::reload);
			gateway.awaitStopped();
		}
	}

	private static void runRankSidecar(Path file) {
		RankSettings settings = RankSettings.of(Settings.ofFile(file));
		try (RankSidecar sidecar = RankSidecar.start(settings, PluginRegistry.ofClassPath(),
				RandomGenerator.getDefault());
				SettingsWatcher<RankSettings> watcher = SettingsWatcher.of(file, RankSettings::of, settings,
						(changed) -> logger().info("event=settings-need-restart"))) {
			Signals.handle(sidecar::stop, watcher::reload);
			sidecar.awaitStopped();
		}
	}

	private static Logger logger() {
		return LoggerFactory.getLogger(Main.class);
	}

}
