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
 * One shard of claims: at most one call to the store at a time, and one conditional write
 * for all claims that came meanwhile. A full segment is copied to an archive object
 * before the next one begins; archive objects are used in turn, so nothing is deleted.
 */
final class ClaimShard {

	private static final int MAX_TRIES = 8;

	private static final int MAX_DOUBLINGS = 10;

	private final int number;

	private final Claims.Builder settings;

	private final Deque<Operation> waiting = new ArrayDeque<>();

	private final ClaimIndex index;

	private List<Operation> batch = List.of();

	private boolean busy;

	private boolean loaded;

	private boolean fresh;

	private boolean uncertain;

	private int tries;

	private long nextWriteNanos = Long.MIN_VALUE;

	private long marks;

	private int failures;

	ClaimShard(int number, Claims.Builder settings) {
		this.number = number;
		this.settings = settings;
		this.index = new ClaimIndex(settings.policy.archives());
	}

	void claim(ClaimRequest request, Consumer<ClaimOutcome> answer) {
		long pause = this.nextWriteNanos - this.settings.clock.nanos();
		if (this.failures > 0 && pause > 0) {
			answer
				.accept(new ClaimOutcome.Unavailable(Math.max(retryAfterMillis(), Duration.ofNanos(pause).toMillis())));
			return;
		}
		this.waiting.add(new Operation(request, false, answer));
		step();
	}

	void release(ClaimRequest request) {
		this.waiting.add(new Operation(request, true, (outcome) -> {
		}));
		step();
	}

	long nextWakeNanos() {
		return (this.busy || this.waiting.isEmpty()) ? Long.MAX_VALUE : this.nextWriteNanos;
	}

	// Begins the next batch if it is its time.
	void step() {
		if (this.busy || this.waiting.isEmpty() || this.settings.clock.nanos() < this.nextWriteNanos) {
			return;
		}
		this.batch = new ArrayList<>(this.waiting);
		this.waiting.clear();
		this.busy = true;
		this.fresh = false;
		this.uncertain = false;
		this.tries = 0;
		proceed();
	}

	private void proceed() {
		this.tries++;
		if (this.tries > MAX_TRIES) {
			abandon();
		}
		else if (!this.loaded) {
			load();
		}
		else {
			decide();
		}
	}

	private void load() {
		then(this.settings.store.read(headKey()), (result) -> {
			if (result instanceof ReadResult.Unavailable) {
				abandon();
				return;
			}
			if (result instanceof ReadResult.Found found) {
				this.index.read(found.object());
			}
			loadArchives();
		});
	}

	private void loadArchives() {
		OptionalLong missing = this.index.missing(oldestEpochSeconds());
		if (missing.isEmpty()) {
			this.index.rebuild();
			this.loaded = true;
			this.fresh = true;
			proceed();
			return;
		}
		then(this.settings.store.read(archiveKey(missing.getAsLong())),
				(result) -> takeArchive(missing.getAsLong(), result));
	}

	private void takeArchive(long sequence, ReadResult result) {
		if (!(result instanceof ReadResult.Found found)) {
			abandon();
			return;
		}
		ClaimSegment segment = ClaimSegment.ofBytes(found.object().value());
		if (segment.sequence() != sequence) {
			proceed();
			return;
		}
		this.index.addFull(segment);
		loadArchives();
	}

	// A write that takes effect proves that all decisions of its batch rest on the newest
	// claims; without a write they have to be read.
	private void decide() {
		Map<KeyHash, ClaimRecord> changes = new HashMap<>();
		List<ClaimOutcome> outcomes = new ArrayList<>();
		for (Operation operation : this.batch) {
			outcomes.add(decide(operation, changes));
		}
		if (changes.isEmpty() && !this.fresh) {
			this.loaded = false;
			proceed();
		}
		else if (changes.isEmpty()) {
			finish(outcomes);
		}
		else if (this.index.head().records().size() >= this.settings.policy.segmentClaims()) {
			rotate(changes, outcomes);
		}
		else {
			write(this.index.head().plus(List.copyOf(changes.values())), outcomes);
		}
	}

	private ClaimOutcome decide(Operation operation, Map<KeyHash, ClaimRecord> changes) {
		ClaimRequest request = operation.request();
		long now = this.settings.epochSeconds.getAsLong();
		ClaimRecord wanted = ClaimRecord.of(request, now, operation.release());
		ClaimRecord holder = changes.getOrDefault(wanted.key(), this.index.find(wanted.key()).orElse(null));
		if (operation.release()) {
			if (holder != null && holder.isHeldBy(request) && !holder.released()) {
				changes.put(wanted.key(), wanted);
			}
			return new ClaimOutcome.Granted();
		}
		if (holder != null && !holder.released() && holder.isHeldBy(request)) {
			return new ClaimOutcome.Granted();
		}
		if (holder == null || holder.released() || holder.passesTo(request)) {
			changes.put(wanted.key(), wanted);
			return new ClaimOutcome.Granted();
		}
		if (holder.digest() != request.digest()) {
			return new ClaimOutcome.KeyReused();
		}
		return new ClaimOutcome.Held(now - holder.epochSeconds() < this.settings.policy.inFlightFor().toSeconds());
	}

	private void write(ClaimSegment segment, List<ClaimOutcome> outcomes) {
		this.nextWriteNanos = this.settings.clock.nanos() + this.settings.policy.writeInterval().toNanos();
		Write write = new Write(headKey(), this.index.headVersion(), segment.toBytes(), nextMark());
		then(this.settings.store.write(write), (result) -> {
			if (result instanceof WriteResult.Written written) {
				this.index.written(segment, written.version());
				this.index.forgetOlderThan(oldestEpochSeconds());
				finish(outcomes);
			}
			else {
				settleLater(result);
			}
		});
	}

	private void rotate(Map<KeyHash, ClaimRecord> changes, List<ClaimOutcome> outcomes) {
		long lost = this.index.nextLostEpochSeconds();
		if (this.settings.epochSeconds.getAsLong() - lost < this.settings.policy.keptFor().toSeconds()) {
			abandon();
			return;
		}
		ClaimSegment full = this.index.head();
		then(this.settings.store.read(archiveKey(full.sequence())), (result) -> {
			if (result instanceof ReadResult.Unavailable) {
				abandon();
				return;
			}
			archive(full, result,
					() -> write(new ClaimSegment(full.sequence() + 1, List.copyOf(changes.values())), outcomes));
		});
	}

	private void archive(ClaimSegment full, ReadResult before, Runnable next) {
		ObjectKey key = archiveKey(full.sequence());
		Write write = (before instanceof ReadResult.Found found)
				? Write.ofUpdate(found.object(), full.toBytes(), nextMark())
				: Write.ofCreate(key, full.toBytes(), nextMark());
		if (before instanceof ReadResult.Found found && isNewer(found.object(), full)) {
			this.loaded = false;
			proceed();
			return;
		}
		then(this.settings.store.write(write), (result) -> {
			if (result instanceof WriteResult.Written) {
				next.run();
			}
			else {
				settleLater(result);
			}
		});
	}

	private static boolean isNewer(VersionedObject archive, ClaimSegment full) {
		return ClaimSegment.ofBytes(archive.value()).sequence() > full.sequence();
	}

	// Reads what became of a write that had no effect, or whose answer was lost.
	private void settleLater(WriteResult result) {
		if (result instanceof WriteResult.Refused) {
			abandon();
			return;
		}
		this.uncertain |= result instanceof WriteResult.Unknown;
		this.loaded = false;
		proceed();
	}

	private void finish(List<ClaimOutcome> outcomes) {
		List<Operation> done = this.batch;
		this.batch = List.of();
		this.busy = false;
		this.failures = 0;
		for (int i = 0; i < done.size(); i++) {
			done.get(i).answer().accept(outcomes.get(i));
		}
		step();
	}

	// Refuses the batch; what a lost write may yet claim is released later.
	private void abandon() {
		this.loaded = false;
		List<Operation> done = this.batch;
		this.batch = List.of();
		this.busy = false;
		this.failures++;
		this.nextWriteNanos = this.settings.clock.nanos() + backOffNanos();
		for (Operation operation : done) {
			if (operation.release() || this.uncertain) {
				this.waiting.add(new Operation(operation.request(), true, (outcome) -> {
				}));
			}
		}
		done.forEach((operation) -> operation.answer().accept(new ClaimOutcome.Unavailable(retryAfterMillis())));
	}

	// Doubles with each failure, spread over processes and shards.
	private long backOffNanos() {
		long longest = this.settings.policy.retryAfter().toNanos();
		long doubled = this.settings.policy.writeInterval().toNanos() << Math.min(this.failures, MAX_DOUBLINGS);
		long bounded = Math.min(longest, doubled);
		return bounded / 2
				+ Math.floorMod(31 * this.settings.incarnation + this.number + this.failures, bounded / 2 + 1);
	}

	private long oldestEpochSeconds() {
		return this.settings.epochSeconds.getAsLong() - this.settings.policy.keptFor().toSeconds();
	}

	private long retryAfterMillis() {
		return this.settings.policy.retryAfter().toMillis();
	}

	private <T> void then(CompletionStage<T> stage, Consumer<T> next) {
		stage.thenAcceptAsync(next, this.settings.executor);
	}

	private WriteId nextMark() {
		this.marks++;
		return new WriteId(Long.toHexString(this.settings.incarnation) + "-" + this.number + "-" + this.marks);
	}

	private ObjectKey headKey() {
		return ObjectKey.of("claims", this.number + "/head");
	}

	private ObjectKey archiveKey(long sequence) {
		return ObjectKey.of("claims", this.number + "/" + sequence % this.settings.policy.archives());
	}

	/**
	 * A claim or a release that waits.
	 *
	 * @param request the claim
	 * @param release whether it is given up
	 * @param answer takes the outcome
	 */
	private record Operation(ClaimRequest request, boolean release, Consumer<ClaimOutcome> answer) {
	}

}
