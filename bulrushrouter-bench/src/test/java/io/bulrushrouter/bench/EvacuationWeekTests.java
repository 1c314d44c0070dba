package io.bulrushrouter.bench;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link EvacuationWeek}.
 */
class EvacuationWeekTests {

	@Test
	void endsEmptyOnTheDateWithEveryRequestAnswered(@TempDir Path reports) throws Exception {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		boolean held = new EvacuationWeek(reports).run(new PrintStream(out));
		assertThat(out.toString()).contains("| upstreams remaining on 2026-11-06 | 0 |");
		assertThat(held).isTrue();
		assertThat(Files.readString(reports.resolve("2026-11-03-upset.txt"))).contains("requests-running");
		assertThat(Files.readString(reports.resolve("2026-11-04-upset.txt"))).contains("store-down");
		assertThat(Files.readString(reports.resolve("2026-11-05-evening.txt"))).contains("engine-refuses");
		assertThat(Files.readString(reports.resolve("2026-11-06-evening.txt"))).contains("0 upstreams remain");
	}

}
