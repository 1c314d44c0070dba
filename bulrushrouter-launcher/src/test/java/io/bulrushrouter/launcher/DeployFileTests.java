package io.bulrushrouter.launcher;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against a process that stays alive, and so is not restarted, after its memory
 * has run out.
 */
class DeployFileTests {

	private static final String RUN = "run = \"java ";

	private static List<String> virtualMachineFlags() throws IOException {
		return Files.readAllLines(Path.of("..", "deploy", "system.toml"))
			.stream()
			.filter((line) -> line.startsWith(RUN))
			.map((line) -> line.substring(RUN.length(), line.indexOf(" -jar ")))
			.toList();
	}

	@Test
	void endEachRoleThatRunsOutOfMemory() throws Exception {
		List<String> roles = virtualMachineFlags();
		assertThat(roles).hasSize(2);
		for (String flags : roles) {
			List<String> command = new ArrayList<>(
					List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
			command.addAll(Arrays.asList(flags.split(" ")));
			command.addAll(List.of("-cp", System.getProperty("java.class.path"), MemoryHog.class.getName()));
			Process process = new ProcessBuilder(command).redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect.DISCARD)
				.start();
			try {
				assertWithMessage(flags).that(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
				assertWithMessage(flags).that(process.exitValue()).isEqualTo(3);
			}
			finally {
				process.destroyForcibly();
			}
		}
	}

}
