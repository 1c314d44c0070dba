package io.bulrushrouter.daemon.cli;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

import io.bulrushrouter.daemon.config.Configuration;
import io.bulrushrouter.daemon.spread.ConfigurationPropagator;
import io.bulrushrouter.kernel.store.Write;
import io.bulrushrouter.kernel.store.WriteId;
import io.bulrushrouter.platform.standin.PlatformServer;
import io.bulrushrouter.standin.EngineStandin;
import io.bulrushrouter.standin.ServiceStandin;

/**
 * The command that runs a stand-in for an external system.
 */
final class StandinCommands {

	private static final String LOOPBACK = "127.0.0.1";

	private static final Duration SERVICE_DELAY = Duration.ofMillis(5);

	private StandinCommands() {
	}

	static List<Command> all() {
		return List.of(new Command("standin", "run a stand-in for the platform, an engine or a service",
				StandinCommands::arguments, StandinCommands::run));
	}

	private static void arguments(Subparser parser) {
		parser.addArgument("kind").choices("platform", "engine", "service").help("the system to stand in for");
		parser.addArgument("--port")
			.type(Integer.class)
			.setDefault(0)
			.help("the port on the loopback address; 0 for any free port");
		parser.addArgument("--configuration")
			.metavar("FILE")
			.help("the initial configuration stored in the platform, as JSON");
		parser.addArgument("--step-millis")
			.type(Integer.class)
			.setDefault(5)
			.help("an engine's time between two tokens of a stream, in milliseconds");
		parser.addArgument("--batch")
			.type(Integer.class)
			.setDefault(64)
			.help("the maximum number of streams that an engine runs concurrently");
	}

	private static int run(Namespace arguments) {
		int port = arguments.getInt("port");
		EventLoopGroup network = new NioEventLoopGroup(2);
		return switch (arguments.getString("kind")) {
			case "platform" -> platform(port, Optional.ofNullable(arguments.getString("configuration")));
			case "engine" -> engine(network, port, arguments);
			default -> service(network, port);
		};
	}

	private static int platform(int port, Optional<String> configuration) {
		Optional<byte[]> json = configuration.map(Path::of)
			.map(CommandFiles::read)
			.map((bytes) -> Configuration.ofJson(bytes).toStored());
		try (PlatformServer platform = PlatformServer.start(port)) {
			json.ifPresent((bytes) -> platform.store()
				.write(Write.ofCreate(ConfigurationPropagator.KEY, bytes, new WriteId("standin"))));
			return serve(platform.uri().getPort());
		}
	}

	private static int engine(EventLoopGroup network, int port, Namespace arguments) {
		EngineStandin.Profile profile = EngineStandin.Profile.ofDefaults()
			.withStepAndBatch(Duration.ofMillis(arguments.getInt("step_millis")), arguments.getInt("batch"));
		try (EngineStandin engine = EngineStandin.start(network, new InetSocketAddress(LOOPBACK, port), profile)) {
			return serve(engine.port());
		}
	}

	private static int service(EventLoopGroup network, int port) {
		try (ServiceStandin service = ServiceStandin.start(network, new InetSocketAddress(LOOPBACK, port),
				SERVICE_DELAY)) {
			return serve(service.port());
		}
	}

	private static int serve(int port) {
		System.out.println("listening on " + LOOPBACK + ":" + port);
		return GracefulShutdown.awaitSignal(() -> {
		});
	}

}
