import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A program of the project, started with the command line of the deploy file. Its
 * settings are the templates of the project, filled in as the platform does.
 */
final class Program {

	private final String role;

	private final Path root;

	private final Path settings;

	private final Path log;

	private Process process;

	int starts;

	private Program(String role, Path root, Path settings, Path log) {
		this.role = role;
		this.root = root;
		this.settings = settings;
		this.log = log;
	}

	/** Prepares a program whose settings come from a template. */
	static Program of(String role, Path root, Path folder, String name, Map<String, String> fields)
			throws IOException {
		String template = Files.readString(root.resolve("platform/" + role + ".ini.template"));
		// No evacuations in a small deployment.
		int section = template.indexOf("{{#");
		String text = (section < 0) ? template : template.substring(0, section);
		for (Map.Entry<String, String> field : fields.entrySet()) {
			text = text.replace("{{" + field.getKey() + "}}", field.getValue());
		}
		Path settings = folder.resolve(name + ".ini");
		Files.writeString(settings, text);
		return new Program(role, root, settings, folder.resolve(name + ".log"));
	}

	/** The fields for an entry, with the bounds of the small deployments. */
	static Map<String, String> entryFields(String name, String ip, String store, int callers, int ready) {
		return Map.ofEntries(Map.entry("node-name", name), Map.entry("zone", "zone-a"),
				Map.entry("limits.memory-mb", "430"), Map.entry("limits.max-fds", "4200"),
				Map.entry("listen.frontend", ip + ":" + callers), Map.entry("listen.ready", ip + ":" + ready),
				Map.entry("ip", ip), Map.entry("platform.address", store),
				Map.entry("bounds.retry-budget-ratio", "0.2"), Map.entry("bounds.budget-slack", "92"),
				Map.entry("bounds.retry-window-s", "10"), Map.entry("bounds.revoke-ms", "5000"),
				Map.entry("bounds.revoke-fail-closed", "true"), Map.entry("bounds.config-apply-ms", "2000"),
				Map.entry("bounds.grace-s", "8"));
	}

	/** Starts the program, again if it has ended. */
	void start() throws IOException {
		String command = null;
		boolean inRole = false;
		for (String line : Files.readAllLines(this.root.resolve("deploy/system.toml"))) {
			inRole = line.startsWith("[") ? line.equals("[roles." + this.role + "]") : inRole;
			if (inRole && line.startsWith("run = ")) {
				command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
			}
		}
		List<String> words = new ArrayList<>(List.of(command.split(" ")));
		ProcessBuilder builder = new ProcessBuilder(words).directory(this.root.toFile())
			.redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()));
		builder.environment().put("BULRUSHROUTER_BOOT", this.settings.toString());
		Process started = builder.start();
		// Also if this process is asked to stop before the program is.
		Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
		this.process = started;
		this.starts++;
	}

	boolean alive() {
		return this.process.isAlive();
	}

	int exitCode() {
		return this.process.exitValue();
	}

	Path log() {
		return this.log;
	}

	/** Ends the program by its process identifier. */
	void kill() throws InterruptedException {
		if (this.process != null) {
			this.process.destroyForcibly();
			this.process.waitFor(5, TimeUnit.SECONDS);
		}
	}

	static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return socket.getLocalPort();
		}
	}

}
