package io.bulrushrouter.standin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Predicate;

import io.bulrushrouter.kernel.store.ListResult;
import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ObjectStore;
import io.bulrushrouter.kernel.store.ReadResult;
import io.bulrushrouter.kernel.store.VersionedObject;
import io.bulrushrouter.kernel.store.Write;
import io.bulrushrouter.kernel.store.WriteResult;

/**
 * An in-memory implementation of the platform's object API that can simulate outages,
 * lost requests and lost responses. Calls complete immediately, except watches that may
 * wait, which complete at the next write or at {@link #expireWatches()}.
 */
public final class MemoryObjectStore implements ObjectStore {

	private static final int MAX_VALUE_BYTES = 1_000_000;

	private final TreeMap<String, VersionedObject> objects = new TreeMap<>();

	private final List<Watch> watches = new ArrayList<>();

	private final List<PrefixWatch> prefixWatches = new ArrayList<>();

	private long lastVersion;

	private boolean down;

	private Predicate<Write> losesRequest = (write) -> false;

	private Predicate<Write> losesAnswer = (write) -> false;

	private long reads;

	private long writes;

	/**
	 * Starts or ends a simulated outage, during which all reads and writes fail and
	 * waiting watches complete without an object.
	 * @param down whether the store is down
	 */
	public synchronized void down(boolean down) {
		this.down = down;
		if (down) {
			List<PrefixWatch> waiting = List.copyOf(this.prefixWatches);
			this.prefixWatches.clear();
			waiting.forEach((watch) -> watch.answer().complete(List.of()));
			completeWatches((watch) -> true, new ReadResult.Unavailable("outage"));
		}
	}

	/**
	 * Returns whether an outage is simulated.
	 * @return whether the store is down
	 */
	public synchronized boolean isDown() {
		return this.down;
	}

	/**
	 * Selects the writes whose request is lost: they have no effect and their result is
	 * unknown.
	 * @param selector selects the writes
	 */
	public synchronized void loseRequests(Predicate<Write> selector) {
		this.losesRequest = selector;
	}

	/**
	 * Selects the writes whose response is lost: they take effect but their result is
	 * unknown.
	 * @param selector selects the writes
	 */
	public synchronized void loseAnswers(Predicate<Write> selector) {
		this.losesAnswer = selector;
	}

	/**
	 * Returns the number of reads, lists and watches received.
	 * @return the count
	 */
	public synchronized long reads() {
		return this.reads;
	}

	/**
	 * Returns the number of writes received.
	 * @return the count
	 */
	public synchronized long writes() {
		return this.writes;
	}

	@Override
	public synchronized CompletionStage<ReadResult> read(ObjectKey key) {
		this.reads++;
		if (this.down) {
			return CompletableFuture.completedFuture(new ReadResult.Unavailable("outage"));
		}
		return CompletableFuture.completedFuture(current(key));
	}

	@Override
	public CompletionStage<WriteResult> write(Write write) {
		List<Runnable> completions = new ArrayList<>();
		WriteResult result = apply(write, completions);
		completions.forEach(Runnable::run);
		return CompletableFuture.completedFuture(result);
	}

	private synchronized WriteResult apply(Write write, List<Runnable> completions) {
		this.writes++;
		if (this.down) {
			return new WriteResult.Refused("outage");
		}
		if (write.value().length > MAX_VALUE_BYTES) {
			return new WriteResult.Refused("value over " + MAX_VALUE_BYTES + " bytes");
		}
		if (this.losesRequest.test(write)) {
			return new WriteResult.Unknown("request lost");
		}
		WriteResult result = commit(write, completions);
		return this.losesAnswer.test(write) ? new WriteResult.Unknown("answer lost") : result;
	}

	private WriteResult commit(Write write, List<Runnable> completions) {
		VersionedObject before = this.objects.get(write.key().value());
		long version = (before != null) ? before.version() : Write.ABSENT;
		if (version != write.expectedVersion()) {
			return new WriteResult.Conflict();
		}
		this.lastVersion++;
		VersionedObject after = new VersionedObject(write.key(), this.lastVersion, write.writeId(),
				write.value().clone());
		this.objects.put(write.key().value(), after);
		for (Iterator<Watch> iterator = this.watches.iterator(); iterator.hasNext();) {
			Watch watch = iterator.next();
			if (watch.key().equals(write.key())) {
				iterator.remove();
				completions.add(() -> watch.answer().complete(new ReadResult.Found(after)));
			}
		}
		for (PrefixWatch watch : List.copyOf(this.prefixWatches)) {
			if (write.key().value().startsWith(watch.prefix())) {
				this.prefixWatches.remove(watch);
				completions.add(() -> watch.answer().complete(List.of(after)));
			}
		}
		return new WriteResult.Written(this.lastVersion);
	}

	/**
	 * Watches all keys with a prefix for objects of higher versions.
	 * @param prefix the prefix of the keys
	 * @param afterVersion the version up to which all objects are known
	 * @return the newer objects; empty after {@link #cancelPrefixWatch} or an outage
	 */
	public synchronized CompletionStage<List<VersionedObject>> watchPrefix(String prefix, long afterVersion) {
		this.reads++;
		List<VersionedObject> newer = this.objects.tailMap(prefix)
			.values()
			.stream()
			.takeWhile((object) -> object.key().value().startsWith(prefix))
			.filter((object) -> object.version() > afterVersion)
			.toList();
		if (!newer.isEmpty()) {
			return CompletableFuture.completedFuture(newer);
		}
		PrefixWatch watch = new PrefixWatch(prefix, new CompletableFuture<>());
		this.prefixWatches.add(watch);
		return watch.answer();
	}

	/**
	 * Ends a waiting watch as if its timeout had expired.
	 * @param answer the result of {@link #watchPrefix}
	 */
	public void cancelPrefixWatch(CompletionStage<List<VersionedObject>> answer) {
		synchronized (this) {
			this.prefixWatches.removeIf((watch) -> watch.answer() == answer);
		}
		answer.toCompletableFuture().complete(List.of());
	}

	/**
	 * Returns the version of the most recent write.
	 * @return the version
	 */
	public synchronized long revision() {
		return this.lastVersion;
	}

	@Override
	public synchronized CompletionStage<ReadResult> watch(ObjectKey key, long afterVersion, Duration wait) {
		this.reads++;
		if (this.down) {
			return CompletableFuture.completedFuture(new ReadResult.Unavailable("outage"));
		}
		VersionedObject object = this.objects.get(key.value());
		if (object != null && object.version() > afterVersion) {
			return CompletableFuture.completedFuture(new ReadResult.Found(object));
		}
		if (wait.isZero()) {
			return CompletableFuture.completedFuture(new ReadResult.Absent());
		}
		Watch watch = new Watch(key, new CompletableFuture<>());
		this.watches.add(watch);
		return watch.answer();
	}

	@Override
	public synchronized CompletionStage<ListResult> list(String prefix) {
		this.reads++;
		if (this.down) {
			return CompletableFuture.completedFuture(new ListResult.Unavailable("outage"));
		}
		List<VersionedObject> found = this.objects.tailMap(prefix)
			.values()
			.stream()
			.takeWhile((object) -> object.key().value().startsWith(prefix))
			.toList();
		return CompletableFuture.completedFuture(new ListResult.Listed(found));
	}

	/**
	 * Ends all waiting watches as if their timeouts had expired.
	 */
	public synchronized void expireWatches() {
		completeWatches((watch) -> true, new ReadResult.Absent());
	}

	/**
	 * Ends a waiting watch as if its timeout had expired.
	 * @param answer the result of {@link #watch}
	 */
	public void cancelWatch(CompletionStage<ReadResult> answer) {
		synchronized (this) {
			this.watches.removeIf((watch) -> watch.answer() == answer);
		}
		answer.toCompletableFuture().complete(new ReadResult.Absent());
	}

	private void completeWatches(Predicate<Watch> selector, ReadResult result) {
		List<Watch> selected = this.watches.stream().filter(selector).toList();
		this.watches.removeAll(selected);
		selected.forEach((watch) -> watch.answer().complete(result));
	}

	private ReadResult current(ObjectKey key) {
		VersionedObject object = this.objects.get(key.value());
		return (object != null) ? new ReadResult.Found(object) : new ReadResult.Absent();
	}

	private record PrefixWatch(String prefix, CompletableFuture<List<VersionedObject>> answer) {
	}

	private record Watch(ObjectKey key, CompletableFuture<ReadResult> answer) {
	}

}
