package io.bulrushrouter.launcher;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A program in a process of its own, with the command of the deploy file on the class
 * path of the tests.
 */
final class ProgramProcess implements AutoCloseable {

	private static final String RUN = "run = \"java ";

	private final Process process;

	private final Path log;

	/**
	 * Starts a program.
	 * @param program the name of the program
	 * @param heap the flag of the largest heap
	 * @param directory receives the settings and the log
	 * @param settings the lines of the settings
	 */
	ProgramProcess(String program, String heap, Path directory, List<String> settings) throws IOException {
		Path file = Files.write(directory.resolve(program + ".ini"), settings);
		this.log = directory.resolve(program + ".log");
		this.process = new ProcessBuilder(command(program, heap, file)).redirectErrorStream(true)
			.redirectOutput(this.log.toFile())
			.start();
	}

	private static List<String> command(String program, String heap, Path settings) throws IOException {
		String run = Files.readAllLines(Path.of("..", "deploy", "system.toml"))
			.stream()
			.filter((line) -> line.startsWith(RUN) && line.contains(" " + program + " "))
			.findFirst()
			.orElseThrow();
		List<String> command = new ArrayList<>();
		command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
		Arrays.stream(run.substring(RUN.length(), run.indexOf(" -jar ")).split(" "))
			.filter((flag) -> !flag.startsWith("-Xmx") && !flag.contains("SharedArchiveFile"))
			.forEach(command::add);
		command.addAll(List.of(heap, "-cp", System.getProperty("java.class.path"), Main.class.getName(), program,
				"--settings", settings.toString()));
		return command;
	}

	boolean alive() {
		return this.process.isAlive();
	}

	/**
	 * Asks the process to end.
	 */
	void terminate() {
		this.process.destroy();
	}

	boolean awaitEnd(long seconds) throws InterruptedException {
		return this.process.waitFor(seconds, TimeUnit.SECONDS);
	}

	/**
	 * Sends a signal to the process.
	 * @param name the name of the signal
	 */
	void signal(String name) throws IOException, InterruptedException {
		new ProcessBuilder("kill", "-" + name, Long.toString(this.process.pid())).start().waitFor();
	}

	/**
	 * Returns what the system tells of the process.
	 * @param name the name of the file or directory
	 * @return its path
	 */
	Path information(String name) {
		return Path.of("/proc", Long.toString(this.process.pid()), name);
	}

	String log() throws IOException {
		return Files.readString(this.log);
	}

	@Override
	public void close() {
		this.process.destroyForcibly();
		this.process.onExit().join();
	}

}
