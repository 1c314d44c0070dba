package io.bulrushrouter.request;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ReadResult;
import io.bulrushrouter.kernel.store.VersionedObject;
import io.bulrushrouter.kernel.store.Write;
import io.bulrushrouter.kernel.store.WriteId;
import io.bulrushrouter.kernel.store.WriteResult;

/**
 * One shard of claims. It makes at most one call to the store at a time and writes all
 * claims that arrive meanwhile with one conditional write. A full segment is copied to an
 * archive object before the next one begins; archive objects are reused in rotation, so
 * that nothing has to be deleted.
 */
final class ClaimShard {

	private static final int MAX_ATTEMPTS = 8;

	private static final int MAX_BACKOFF_DOUBLINGS = 10;

	private final int number;

	private final Claims.Builder settings;

	private final Deque<Operation> pending = new ArrayDeque<>();

	private final ClaimIndex index;

	private List<Operation> batch = List.of();

	private boolean batchInFlight;

	private boolean indexLoaded;

	private boolean indexReadInBatch;

	private boolean writeOutcomeUnknown;

	private int attempts;

	private long nextWriteNanos = Long.MIN_VALUE;

	private long writeCount;

	private int failures;

	ClaimShard(int number, Claims.Builder settings) {
		this.number = number;
		this.settings = settings;
		this.index = new ClaimIndex(settings.policy.archives());
	}

	void claim(ClaimRequest request, Consumer<ClaimOutcome> answer) {
		long remainingBackoff = this.nextWriteNanos - this.settings.clock.nanos();
		if (this.failures > 0 && remainingBackoff > 0) {
			answer.accept(new ClaimOutcome.Unavailable(
					Math.max(retryAfterMillis(), Duration.ofNanos(remainingBackoff).toMillis())));
			return;
		}
		this.pending.add(new Operation(request, false, answer));
		startBatch();
	}

	void release(ClaimRequest request) {
		this.pending.add(new Operation(request, true, (outcome) -> {
		}));
		startBatch();
	}

	long nextWakeNanos() {
		return (this.batchInFlight || this.pending.isEmpty()) ? Long.MAX_VALUE : this.nextWriteNanos;
	}

	// Starts the next batch if none is in flight and the next write is due.
	void startBatch() {
		if (this.batchInFlight || this.pending.isEmpty() || this.settings.clock.nanos() < this.nextWriteNanos) {
			return;
		}
		this.batch = new ArrayList<>(this.pending);
		this.pending.clear();
		this.batchInFlight = true;
		this.indexReadInBatch = false;
		this.writeOutcomeUnknown = false;
		this.attempts = 0;
		processBatch();
	}

	private void processBatch() {
		this.attempts++;
		if (this.attempts > MAX_ATTEMPTS) {
			failBatch();
		}
		else if (!this.indexLoaded) {
			loadHead();
		}
		else {
			decide();
		}
	}

	private void loadHead() {
		then(this.settings.store.read(headKey()), (result) -> {
			if (result instanceof ReadResult.Unavailable) {
				failBatch();
				return;
			}
			if (result instanceof ReadResult.Found found) {
				this.index.applyRead(found.object());
			}
			loadArchives();
		});
	}

	private void loadArchives() {
		OptionalLong missing = this.index.findMissingSegment(oldestEpochSeconds());
		if (missing.isEmpty()) {
			this.index.rebuild();
			this.indexLoaded = true;
			this.indexReadInBatch = true;
			processBatch();
			return;
		}
		then(this.settings.store.read(archiveKey(missing.getAsLong())),
				(result) -> addArchive(missing.getAsLong(), result));
	}

	private void addArchive(long sequence, ReadResult result) {
		if (!(result instanceof ReadResult.Found found)) {
			failBatch();
			return;
		}
		ClaimSegment segment = ClaimSegment.ofBytes(found.object().value());
		if (segment.sequence() != sequence) {
			processBatch();
			return;
		}
		this.index.addFullSegment(segment);
		loadArchives();
	}

	// A successful conditional write proves that the batch was decided on the newest
	// claims; a batch without a write has to read them.
	private void decide() {
		Map<KeyHash, ClaimRecord> changes = new HashMap<>();
		List<ClaimOutcome> outcomes = new ArrayList<>();
		for (Operation operation : this.batch) {
			outcomes.add(decide(operation, changes));
		}
		if (changes.isEmpty() && !this.indexReadInBatch) {
			this.indexLoaded = false;
			processBatch();
		}
		else if (changes.isEmpty()) {
			completeBatch(outcomes);
		}
		else if (this.index.head().records().size() >= this.settings.policy.maxSegmentClaims()) {
			rotate(changes, outcomes);
		}
		else {
			write(this.index.head().plus(List.copyOf(changes.values())), outcomes);
		}
	}

	private ClaimOutcome decide(Operation operation, Map<KeyHash, ClaimRecord> changes) {
		ClaimRequest request = operation.request();
		long now = this.settings.epochSeconds.getAsLong();
		ClaimRecord newRecord = ClaimRecord.of(request, now, operation.release());
		ClaimRecord current = changes.getOrDefault(newRecord.key(), this.index.find(newRecord.key()).orElse(null));
		if (operation.release()) {
			if (current != null && current.isHeldBy(request) && !current.released()) {
				changes.put(newRecord.key(), newRecord);
			}
			return new ClaimOutcome.Granted();
		}
		if (current != null && !current.released() && current.isHeldBy(request)) {
			return new ClaimOutcome.Granted();
		}
		if (current == null || current.released() || current.transfersTo(request)) {
			changes.put(newRecord.key(), newRecord);
			return new ClaimOutcome.Granted();
		}
		if (current.digest() != request.digest()) {
			return new ClaimOutcome.KeyReused();
		}
		return new ClaimOutcome.Held(now - current.epochSeconds() < this.settings.policy.inFlightTimeout().toSeconds());
	}

	private void write(ClaimSegment segment, List<ClaimOutcome> outcomes) {
		this.nextWriteNanos = this.settings.clock.nanos() + this.settings.policy.minWriteInterval().toNanos();
		Write write = new Write(headKey(), this.index.headVersion(), segment.toBytes(), nextWriteId());
		then(this.settings.store.write(write), (result) -> {
			if (result instanceof WriteResult.Written written) {
				this.index.applyWritten(segment, written.version());
				this.index.evictOlderThan(oldestEpochSeconds());
				completeBatch(outcomes);
			}
			else {
				resolveWrite(result);
			}
		});
	}

	private void rotate(Map<KeyHash, ClaimRecord> changes, List<ClaimOutcome> outcomes) {
		long evictedEpochSeconds = this.index.nextEvictedEpochSeconds();
		if (this.settings.epochSeconds.getAsLong() - evictedEpochSeconds < this.settings.policy.retention()
			.toSeconds()) {
			failBatch();
			return;
		}
		ClaimSegment fullSegment = this.index.head();
		then(this.settings.store.read(archiveKey(fullSegment.sequence())), (result) -> {
			if (result instanceof ReadResult.Unavailable) {
				failBatch();
				return;
			}
			archive(fullSegment, result,
					() -> write(new ClaimSegment(fullSegment.sequence() + 1, List.copyOf(changes.values())), outcomes));
		});
	}

	private void archive(ClaimSegment fullSegment, ReadResult existing, Runnable next) {
		ObjectKey key = archiveKey(fullSegment.sequence());
		Write write = (existing instanceof ReadResult.Found found)
				? Write.ofUpdate(found.object(), fullSegment.toBytes(), nextWriteId())
				: Write.ofCreate(key, fullSegment.toBytes(), nextWriteId());
		if (existing instanceof ReadResult.Found found && isNewer(found.object(), fullSegment)) {
			this.indexLoaded = false;
			processBatch();
			return;
		}
		then(this.settings.store.write(write), (result) -> {
			if (result instanceof WriteResult.Written) {
				next.run();
			}
			else {
				resolveWrite(result);
			}
		});
	}

	private static boolean isNewer(VersionedObject archive, ClaimSegment fullSegment) {
		return ClaimSegment.ofBytes(archive.value()).sequence() > fullSegment.sequence();
	}

	// Reloads the index to resolve a write that conflicted or whose outcome is unknown.
	private void resolveWrite(WriteResult result) {
		if (result instanceof WriteResult.Refused) {
			failBatch();
			return;
		}
		this.writeOutcomeUnknown |= result instanceof WriteResult.Unknown;
		this.indexLoaded = false;
		processBatch();
	}

	private void completeBatch(List<ClaimOutcome> outcomes) {
		List<Operation> completed = this.batch;
		this.batch = List.of();
		this.batchInFlight = false;
		this.failures = 0;
		for (int i = 0; i < completed.size(); i++) {
			completed.get(i).answer().accept(outcomes.get(i));
		}
		startBatch();
	}

	// Fails the batch. Claims that a write of unknown outcome may have made are released
	// later.
	private void failBatch() {
		this.indexLoaded = false;
		List<Operation> failed = this.batch;
		this.batch = List.of();
		this.batchInFlight = false;
		this.failures++;
		this.nextWriteNanos = this.settings.clock.nanos() + backoffNanos();
		for (Operation operation : failed) {
			if (operation.release() || this.writeOutcomeUnknown) {
				this.pending.add(new Operation(operation.request(), true, (outcome) -> {
				}));
			}
		}
		failed.forEach((operation) -> operation.answer().accept(new ClaimOutcome.Unavailable(retryAfterMillis())));
	}

	// Exponential backoff with deterministic jitter per process and shard.
	private long backoffNanos() {
		long max = this.settings.policy.retryAfter().toNanos();
		long doubled = this.settings.policy.minWriteInterval().toNanos() << Math.min(this.failures,
				MAX_BACKOFF_DOUBLINGS);
		long bounded = Math.min(max, doubled);
		return bounded / 2
				+ Math.floorMod(31 * this.settings.incarnation + this.number + this.failures, bounded / 2 + 1);
	}

	private long oldestEpochSeconds() {
		return this.settings.epochSeconds.getAsLong() - this.settings.policy.retention().toSeconds();
	}

	private long retryAfterMillis() {
		return this.settings.policy.retryAfter().toMillis();
	}

	private <T> void then(CompletionStage<T> stage, Consumer<T> next) {
		stage.thenAcceptAsync(next, this.settings.executor);
	}

	private WriteId nextWriteId() {
		this.writeCount++;
		return new WriteId(Long.toHexString(this.settings.incarnation) + "-" + this.number + "-" + this.writeCount);
	}

	private ObjectKey headKey() {
		return ObjectKey.of("claims", this.number + "/head");
	}

	private ObjectKey archiveKey(long sequence) {
		return ObjectKey.of("claims", this.number + "/" + sequence % this.settings.policy.archives());
	}

	/**
	 * A pending claim or release.
	 *
	 * @param request the claim
	 * @param release whether the claim is released
	 * @param answer receives the outcome
	 */
	private record Operation(ClaimRequest request, boolean release, Consumer<ClaimOutcome> answer) {
	}

}
