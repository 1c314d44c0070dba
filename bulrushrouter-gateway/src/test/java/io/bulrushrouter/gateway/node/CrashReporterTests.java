package io.bulrushrouter.gateway.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import io.bulrushrouter.gateway.quarantine.CrashEvidence;
import io.bulrushrouter.gateway.quarantine.CrashId;
import io.bulrushrouter.gateway.quarantine.CrashReport;
import io.bulrushrouter.gateway.quarantine.Fingerprint;
import io.bulrushrouter.gateway.source.CrashReportStore;
import io.bulrushrouter.gateway.source.Feed;
import io.bulrushrouter.gateway.source.FeedCounters;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link CrashReporter}.
 */
class CrashReporterTests {

	// Guards against an entry that reports no further crash after a write that threw.
	@Test
	void reportsAgainWhenAWriteEndsWithAnError() {
		EmbeddedChannel channel = new EmbeddedChannel();
		FailingStore store = new FailingStore();
		CrashEvidence evidence = new CrashEvidence("entry", 1, (key) -> 0);
		try (CrashReporter reporter = new CrashReporter(channel.eventLoop(), () -> 0, new Random(1), "entry", store,
				evidence, new FeedCounters())) {
			evidence.crashed(new CrashId("up-1", 1), List.of(Fingerprint.ofPart("dead")), 0);
			for (int second = 0; second < 10; second++) {
				channel.advanceTimeBy(1, TimeUnit.SECONDS);
				channel.runScheduledPendingTasks();
			}
		}
		assertThat(store.errors).isEmpty();
		assertThat(store.written).hasSize(1);
	}

	/**
	 * Throws an error, then completes with one, then accepts reports.
	 */
	private static final class FailingStore implements CrashReportStore {

		private final List<RuntimeException> errors = new ArrayList<>(
				List.of(new IllegalStateException("thrown"), new IllegalStateException("stage")));

		private final List<CrashReport> written = new ArrayList<>();

		@Override
		public CompletionStage<Boolean> write(String instance, CrashReport report) {
			if (this.errors.size() == 2) {
				throw this.errors.remove(0);
			}
			if (!this.errors.isEmpty()) {
				return CompletableFuture.failedStage(this.errors.remove(0));
			}
			this.written.add(report);
			return CompletableFuture.completedFuture(true);
		}

		@Override
		public Feed<CrashReport> reports() {
			return null;
		}

	}

}
