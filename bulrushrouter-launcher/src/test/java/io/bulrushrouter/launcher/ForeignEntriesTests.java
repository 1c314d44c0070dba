package io.bulrushrouter.launcher;

import java.nio.file.Path;
import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import io.bulrushrouter.platform.standin.FleetObjects;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against another writer's objects beside the upstreams that end an entry or a
 * rank's process, keep it from following the fleet, or make it exceed the memory of its
 * instance.
 */
class ForeignEntriesTests {

	private static final Duration TIME = Duration.ofSeconds(3);

	private static final Duration LONGEST_CATCH_UP = Duration.ofSeconds(30);

	private static final long SEED = 68;

	@TempDir
	private Path directory;

	@Test
	void serveBesideLargeObjectsOfAnotherWriter() throws Exception {
		serve(24, 1_000_000);
	}

	@Test
	void serveBesideManyObjectsOfAnotherWriter() throws Exception {
		serve(10_000, 4_000);
	}

	@Test
	void leadARankGroupBesideLargeObjectsOfAnotherWriter() throws Exception {
		lead(24, 1_000_000);
	}

	@Test
	void leadARankGroupBesideManyObjectsOfAnotherWriter() throws Exception {
		lead(10_000, 4_000);
	}

	private void serve(int count, int length) throws Exception {
		try (UpstreamStandin work = UpstreamStandin.fixed(); ChangingStore store = new ChangingStore()) {
			configure(store);
			store.put(FleetObjects.UPSTREAMS, "i-1", FleetObjects.upstream("work", work.port(), false));
			ForeignWriter writer = new ForeignWriter(store, SEED, count, length);
			try (EntryProcess entry = new EntryProcess(this.directory, store.port())) {
				long end = System.nanoTime() + TIME.toNanos();
				while (System.nanoTime() < end) {
					writer.change();
					assertWithMessage("an ordinary request is answered; %s", entry.endOfLog()).that(entry.serves())
						.isTrue();
				}
				entry.assertWithinInstance();
			}
		}
	}

	private void lead(int count, int length) throws Exception {
		try (ChangingStore store = new ChangingStore()) {
			configure(store);
			store.put(FleetObjects.UPSTREAMS, "i-1", FleetObjects.upstream("work", 1, false));
			ForeignWriter writer = new ForeignWriter(store, SEED, count, length);
			try (RankProcess rank = new RankProcess(this.directory, store.port())) {
				for (int index = 0; index < 3; index++) {
					writer.change();
					long revision = store.put(FleetObjects.UPSTREAMS, "i-" + index,
							FleetObjects.upstream("work", 2 + index, false));
					boolean follows = store.awaitWatch(FleetObjects.UPSTREAMS, revision, LONGEST_CATCH_UP);
					assertWithMessage("the process follows the fleet; %s", rank.log()).that(follows).isTrue();
				}
				assertWithMessage("the process lives; %s", rank.log()).that(rank.alive()).isTrue();
			}
		}
	}

	private static void configure(ChangingStore store) {
		store.put(FleetObjects.CONFIGURATION, FleetObjects.CONFIGURATION_NAME,
				new FleetObjects().service("work").route("/work/", true, "work").configuration());
	}

}
