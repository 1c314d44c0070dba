package io.bulrushrouter.launcher;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

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
			store.put("config", "main", configuration());
			store.put("servers", "i-1", upstream(work.port()));
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
			store.put("config", "main", configuration());
			store.put("servers", "i-1", upstream(1));
			ForeignWriter writer = new ForeignWriter(store, SEED, count, length);
			try (RankProcess rank = new RankProcess(this.directory, store.port())) {
				for (int index = 0; index < 3; index++) {
					writer.change();
					long revision = store.put("servers", "i-" + index, upstream(2 + index));
					boolean follows = store.awaitWatch("servers", revision, LONGEST_CATCH_UP);
					assertWithMessage("the process follows the fleet; %s", rank.log()).that(follows).isTrue();
				}
				assertWithMessage("the process lives; %s", rank.log()).that(rank.alive()).isTrue();
			}
		}
	}

	private static byte[] configuration() {
		return """
				{"version":1,"routes":[{"name":"work","host":"127.0.0.1","path-prefix":"/work/","route-kind":"idempotent",
				"timeout-ms":8000,"goal-ms":400,"priority":1,"service":"work","max-attempts":2,"anonymous":true,
				"resumable":false}],"services":[{"name":"work","health-path":"/healthz","max-conns":400}],
				"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,
				"idle-timeout-ms":15000}}"""
			.getBytes(StandardCharsets.ISO_8859_1);
	}

	private static byte[] upstream(int port) {
		return """
				{"service":"work","address":"127.0.0.1:%d","zone":"a","version":"v1","slots":64,"state":"ready",
				"warmup-left-ms":0,"sequence":1}""".formatted(port).getBytes(StandardCharsets.ISO_8859_1);
	}

}
