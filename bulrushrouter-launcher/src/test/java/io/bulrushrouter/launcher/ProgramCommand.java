package io.bulrushrouter.launcher;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The command with which the deploy file runs a program, on the class path of the tests.
 */
final class ProgramCommand {

	private static final String RUN = "run = \"java ";

	private ProgramCommand() {
	}

	/**
	 * Returns the command of a program.
	 * @param program the name of the program
	 * @param heap the flag of the largest heap
	 * @param settings the file of the settings
	 * @return the command and its arguments
	 */
	static List<String> of(String program, String heap, Path settings) throws IOException {
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

}
