package io.bulrushrouter.launcher;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import io.bulrushrouter.platform.standin.ForeignKind;
import io.bulrushrouter.platform.standin.ForeignObjects;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against another writer's objects beside the upstreams that end an entry, or make
 * it exceed the memory of its instance.
 */
class ForeignEntriesTests {

	private static final Duration TIME = Duration.ofSeconds(3);

	private static final long SEED = 68;

	@TempDir
	private Path directory;

	@Test
	void serveBesideLargeObjectsOfAnotherWriter() throws Exception {
		endure(24, 1_000_000);
	}

	@Test
	void serveBesideManyObjectsOfAnotherWriter() throws Exception {
		endure(10_000, 4_000);
	}

	private void endure(int count, int length) throws Exception {
		ForeignKind foreign = new ForeignKind(ForeignObjects.ofSeed(SEED), count, length, 10);
		try (FixedUpstream work = new FixedUpstream(false);
				FixedUpstream silent = new FixedUpstream(true);
				StoreFiles store = new StoreFiles(Map.of("work", work.port(), "silent", silent.port()),
						Optional.of(foreign));
				EntryProcess entry = new EntryProcess(this.directory, store.port())) {
			long end = System.nanoTime() + TIME.toNanos();
			while (System.nanoTime() < end) {
				assertWithMessage("an ordinary request is answered; %s", entry.endOfLog()).that(entry.serves())
					.isTrue();
			}
			entry.assertWithinInstance();
		}
	}

}
