package io.bulrushrouter.bench.capacity;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;

import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.RequestId;
import io.bulrushrouter.kernel.store.ListResult;
import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ObjectStore;
import io.bulrushrouter.kernel.store.ReadResult;
import io.bulrushrouter.kernel.store.Write;
import io.bulrushrouter.kernel.store.WriteResult;
import io.bulrushrouter.request.ClaimOutcome;
import io.bulrushrouter.request.ClaimRequest;
import io.bulrushrouter.request.Claims;
import io.bulrushrouter.request.ClaimsPolicy;
import io.bulrushrouter.standin.MemoryObjectStore;

/**
 * A {@link Claims} component that owns all shards and receives claims at a given rate.
 * Its object store answers one simulation step later.
 */
final class ClaimLoad implements ObjectStore {

	private static final Duration STEP = Duration.ofMillis(5);

	private static final int STEPS_PER_SECOND = 200;

	private static final int RUN_SECONDS = 10;

	private static final int STEPS_PER_BATCH = 10;

	private static final long EPOCH_SECONDS = 1_000_000;

	private final MemoryObjectStore store = new MemoryObjectStore();

	private final AtomicLong now = new AtomicLong();

	private final Deque<Runnable> pendingAnswers = new ArrayDeque<>();

	private final Claims claims;

	private long claimNumber;

	private long granted;

	private long bytes;

	private ClaimLoad(int shards) {
		ClaimsPolicy defaults = ClaimsPolicy.ofDefaults();
		this.claims = Claims.builder(this, 1)
			.policy(new ClaimsPolicy(shards, defaults.archives(), defaults.maxSegmentClaims(),
					defaults.minWriteInterval(), defaults.retention(), defaults.inFlightTimeout(),
					defaults.retryAfter()))
			.clock(this.now::get)
			.epochSeconds(() -> EPOCH_SECONDS + Duration.ofNanos(this.now.get()).toSeconds())
			.build();
	}

	static ClaimLoad run(int shards, int claimsPerSecond) {
		ClaimLoad load = new ClaimLoad(shards);
		for (int step = 1; step <= RUN_SECONDS * STEPS_PER_SECOND; step++) {
			load.step((long) claimsPerSecond * step / STEPS_PER_SECOND);
		}
		return load;
	}

	private void step(long claimsDue) {
		while (this.claimNumber < claimsDue) {
			claim();
		}
		advanceStep();
	}

	private void advanceStep() {
		this.now.addAndGet(STEP.toNanos());
		for (int due = this.pendingAnswers.size(); due > 0; due--) {
			this.pendingAnswers.poll().run();
		}
		this.claims.tick();
	}

	void claim() {
		this.claimNumber++;
		ClaimRequest request = new ClaimRequest(new RequestId(1, this.claimNumber).attempt(1), 1,
				OrganisationId.of("o"), "key-" + this.claimNumber, this.claimNumber);
		this.claims.claim(request, (outcome) -> this.granted += (outcome instanceof ClaimOutcome.Granted) ? 1 : 0);
	}

	/**
	 * Claims a batch of keys within one write interval of a shard.
	 * @param count the number of keys
	 */
	void claimBatch(int count) {
		for (int index = 0; index < count; index++) {
			claim();
		}
		for (int step = 0; step < STEPS_PER_BATCH; step++) {
			advanceStep();
		}
	}

	double writesPerSecond() {
		return this.store.writes() / (double) RUN_SECONDS;
	}

	double bytesPerSecond() {
		return this.bytes / (double) RUN_SECONDS;
	}

	long granted() {
		return this.granted;
	}

	@Override
	public CompletionStage<ReadResult> read(ObjectKey key) {
		return answerNextStep(this.store.read(key));
	}

	@Override
	public CompletionStage<WriteResult> write(Write write) {
		this.bytes += write.value().length;
		return answerNextStep(this.store.write(write));
	}

	private <T> CompletionStage<T> answerNextStep(CompletionStage<T> result) {
		CompletableFuture<T> answer = new CompletableFuture<>();
		this.pendingAnswers.add(() -> result.thenAccept(answer::complete));
		return answer;
	}

	@Override
	public CompletionStage<ListResult> list(String prefix) {
		return this.store.list(prefix);
	}

	@Override
	public CompletionStage<ReadResult> watch(ObjectKey key, long afterVersion, Duration wait) {
		return this.store.watch(key, afterVersion, wait);
	}

}
