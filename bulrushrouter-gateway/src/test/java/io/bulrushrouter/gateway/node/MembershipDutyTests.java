package io.bulrushrouter.gateway.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.bulrushrouter.gateway.membership.EntryMembership;
import io.bulrushrouter.gateway.source.EntryHeartbeat;
import io.bulrushrouter.gateway.source.EntryRegistry;
import io.bulrushrouter.gateway.source.WriteOutcome;

import static com.google.common.truth.Truth.assertThat;

/**
 * Calls that an entry makes to know the other entries.
 */
class MembershipDutyTests {

	private static final int SECONDS = 400;

	/** Generous size of one entry in a listing. */
	private static final int BYTES_PER_ENTRY = 150;

	/** Half of the 10 KB per second that a node may use for control. */
	private static final int MAX_BYTES_PER_SECOND = 5_000;

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final RecordingRegistry registry = new RecordingRegistry();

	private final EntryMembership membership = new EntryMembership("entry-0");

	private int firstProcesses;

	private void run() {
		this.channel.freezeTime();
		new MembershipDuty(this.channel.eventLoop(), "entry-0", this.registry, this.membership, new Random(1),
				() -> this.firstProcesses++)
			.start();
		for (int second = 0; second < SECONDS; second++) {
			this.channel.advanceTimeBy(1, TimeUnit.SECONDS);
			this.channel.runScheduledPendingTasks();
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 5, 17, 400 })
	void keepsTheBytesOfListingsWithinAShareOfTheControlBudget(int entries) {
		this.registry.entries = entries;
		run();
		long bytes = (long) this.registry.listings * entries * BYTES_PER_ENTRY;
		assertThat(bytes / SECONDS).isAtMost((long) MAX_BYTES_PER_SECOND);
		assertThat(this.registry.listings).isAtLeast(SECONDS / 25);
		assertThat(this.membership.size()).isEqualTo(entries);
	}

	@Test
	void writesADifferentHeartbeatForEverySecondListing() {
		run();
		assertThat(this.registry.sequences.size()).isWithin(2).of(this.registry.listings / 2);
		assertThat(this.registry.sequences).containsNoDuplicates();
	}

	@Test
	void goesOnWhileTheStoreDoesNotAnswer() {
		this.registry.available = false;
		run();
		assertThat(this.registry.listings).isAtLeast(SECONDS / 25);
	}

	// Guards against a process that uses what an earlier one of its entry has used.
	@Test
	void isTheFirstProcessOnlyIfItsFirstHeartbeatCreatedTheObject() {
		run();
		assertThat(this.firstProcesses).isEqualTo(0);
		this.registry.result = WriteOutcome.CREATED;
		run();
		assertThat(this.firstProcesses).isEqualTo(1);
	}

	// Guards against an entry that never lists the others again after a call that threw.
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void goesOnWhenCallsEndWithAnError(boolean thrown) {
		this.registry.error = Optional.of(new IllegalStateException("a defect"));
		this.registry.thrown = thrown;
		run();
		assertThat(this.registry.listings).isAtLeast(SECONDS / 25);
		assertThat(this.registry.sequences.size()).isWithin(2).of(this.registry.listings / 2);
	}

	private static final class RecordingRegistry implements EntryRegistry {

		private final List<Long> sequences = new ArrayList<>();

		private int entries = 1;

		private int listings;

		private boolean available = true;

		private WriteOutcome result = WriteOutcome.REPLACED;

		private Optional<RuntimeException> error = Optional.empty();

		private boolean thrown;

		private <T> CompletionStage<T> answer(T value) {
			if (this.thrown) {
				throw this.error.orElseThrow();
			}
			return this.error.<CompletionStage<T>>map(CompletableFuture::failedStage)
				.orElseGet(() -> CompletableFuture.completedFuture(value));
		}

		@Override
		public CompletionStage<WriteOutcome> heartbeat(String instance, long sequence) {
			this.sequences.add(sequence);
			return answer(this.available ? this.result : WriteOutcome.FAILED);
		}

		@Override
		public CompletionStage<Optional<List<EntryHeartbeat>>> list() {
			int listing = this.listings++;
			List<EntryHeartbeat> heartbeats = IntStream.range(0, this.entries)
				.mapToObj((index) -> new EntryHeartbeat("entry-" + index, listing))
				.toList();
			return answer(Optional.of(heartbeats).filter((listed) -> this.available));
		}

	}

}
