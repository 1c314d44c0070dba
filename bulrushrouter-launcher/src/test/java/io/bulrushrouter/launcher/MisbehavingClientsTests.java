package io.bulrushrouter.launcher;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Supplier;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.FieldSource;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against clients that end or hang an entry, or make it exceed the memory or the
 * descriptors of its instance, with requests that are within the limits.
 */
class MisbehavingClientsTests {

	private static final int CLIENTS = 200;

	/** Nearly all that the descriptors of the instance allow. */
	private static final int MANY_CLIENTS = 1_000;

	private static final Duration TIME = Duration.ofSeconds(4);

	private static final long SEED = 62;

	static final List<ClientShape> MISBEHAVING = ClientShape.MISBEHAVING;

	@TempDir
	private Path directory;

	@Test
	void serveAnOrdinaryRequestAfterACrowdOfOrdinaryOnes() throws Exception {
		endure(CLIENTS, () -> ClientShape.USUAL);
	}

	@ParameterizedTest
	@FieldSource("MISBEHAVING")
	void serveAnOrdinaryRequestAfterACrowdThatSends(ClientShape shape) throws Exception {
		endure(CLIENTS, () -> shape);
	}

	@Test
	void serveAnOrdinaryRequestAfterUnfinishedHeadsOnNearlyAllConnections() throws Exception {
		endure(MANY_CLIENTS, () -> ClientShape.UNFINISHED_HEAD);
	}

	@Test
	void serveAnOrdinaryRequestAfterAMixedCrowd() throws Exception {
		Random random = new Random(SEED);
		endure(CLIENTS, () -> MISBEHAVING.get(random.nextInt(MISBEHAVING.size())));
	}

	private void endure(int clients, Supplier<ClientShape> shapes) throws IOException {
		try (UpstreamStandin work = UpstreamStandin.fixed();
				UpstreamStandin silent = UpstreamStandin.silent();
				StoreFiles store = new StoreFiles(Map.of("work", work.port(), "silent", silent.port()));
				EntryProcess entry = new EntryProcess(this.directory, store.port())) {
			try (ClientCrowd crowd = new ClientCrowd(entry.callers(), shapes)) {
				crowd.run(clients, TIME, entry::assertWithinInstance);
			}
			assertWithMessage("an ordinary request is answered; %s", entry.endOfLog()).that(entry.serves()).isTrue();
			entry.assertWithinInstance();
		}
	}

}
