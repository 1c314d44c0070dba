package io.bulrushrouter.coordination.lease;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import io.bulrushrouter.coordination.ExponentialBackoff;
import io.bulrushrouter.coordination.FaultyStore;
import io.bulrushrouter.coordination.ManualClock;
import io.bulrushrouter.coordination.WriteResolvingStore;
import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ObjectStore;
import io.bulrushrouter.kernel.store.ReadResult;
import io.bulrushrouter.kernel.store.VersionedObject;
import io.bulrushrouter.kernel.store.Write;
import io.bulrushrouter.kernel.store.WriteId;
import io.bulrushrouter.kernel.store.WriteResult;

/**
 * A simulated process that competes for a lease. While it holds the lease, it appends
 * operations to a journal object and sends commands to a receiver that checks fencing
 * tokens.
 */
final class LeaseCandidate {

	static final int TICKS_PER_OPERATION = 4;

	static final ObjectKey JOURNAL = ObjectKey.of("journal", "a");

	private static final ObjectKey LEASE = ObjectKey.of("lease", "a");

	private final String name;

	private final FaultyStore store;

	private final ObjectStore resolvingStore;

	private final LeaseDriver driver;

	private final FencedReceiver receiver;

	private final List<String> acknowledged;

	private Optional<String> operation = Optional.empty();

	private boolean busy;

	private int operationCount;

	private int ticks;

	private int ticksAfterFault;

	LeaseCandidate(String name, FaultyStore store, ManualClock clock, FencedReceiver receiver,
			List<String> acknowledged) {
		this.name = name;
		this.store = store;
		this.resolvingStore = WriteResolvingStore.of(store, 2, ExponentialBackoff.PLATFORM,
				(delay) -> CompletableFuture.completedFuture(null), new Random(1));
		this.driver = LeaseDriver.of(Lease.of(LEASE, name, LeaseTimings.CONTROL), store, clock, Runnable::run);
		this.receiver = receiver;
		this.acknowledged = acknowledged;
	}

	FaultyStore store() {
		return this.store;
	}

	Optional<FencingToken> held() {
		return this.driver.held();
	}

	String name() {
		return this.name;
	}

	int ticksAfterFault() {
		return this.ticksAfterFault;
	}

	void tick(boolean wanted) {
		this.ticks++;
		this.ticksAfterFault += this.store.isFaultInjected() ? 1 : 0;
		if (this.store.isPaused() || this.store.isKilled()) {
			return;
		}
		this.driver.tick(wanted);
		if (this.ticks % TICKS_PER_OPERATION == 0 && !this.busy && !this.store.isPaused() && !this.store.isKilled()) {
			held().ifPresent(this::startOperation);
		}
	}

	private void startOperation(FencingToken fence) {
		this.busy = true;
		this.resolvingStore.read(JOURNAL).thenAccept((read) -> {
			this.receiver.order(fence, this.name);
			if (read instanceof ReadResult.Unavailable) {
				this.busy = false;
			}
			else {
				append(fence,
						(read instanceof ReadResult.Found found) ? Optional.of(found.object()) : Optional.empty());
			}
		});
	}

	private void append(FencingToken fence, Optional<VersionedObject> journal) {
		String text = journal.map((object) -> new String(object.value(), StandardCharsets.UTF_8)).orElse("");
		if (this.operation.filter(text::contains).isPresent()) {
			finish();
			return;
		}
		if (highestToken(text) > fence.value()) {
			this.busy = false;
			return;
		}
		String id = this.operation.orElseGet(this::nextOperationId);
		this.operation = Optional.of(id);
		byte[] value = (text + fence + " " + id + "\n").getBytes(StandardCharsets.UTF_8);
		long version = journal.map(VersionedObject::version).orElse(Write.ABSENT);
		this.operationCount++;
		this.resolvingStore.write(new Write(JOURNAL, version, value, new WriteId(id + "/" + this.operationCount)))
			.thenAccept((result) -> {
				this.busy = false;
				if (result instanceof WriteResult.Written) {
					finish();
				}
			});
	}

	private String nextOperationId() {
		this.operationCount++;
		return this.name + ":" + this.operationCount + ";";
	}

	private void finish() {
		this.busy = false;
		this.operation.ifPresent(this.acknowledged::add);
		this.operation = Optional.empty();
	}

	static List<Entry> entries(String journal) {
		return journal.lines()
			.map((line) -> line.split(" "))
			.map((part) -> new Entry(Long.parseLong(part[0]), part[1]))
			.toList();
	}

	private static long highestToken(String journal) {
		return entries(journal).stream().mapToLong(Entry::fence).max().orElse(0);
	}

	record Entry(long fence, String operation) {

		String process() {
			return this.operation.substring(0, this.operation.indexOf(':'));
		}

	}

	/**
	 * Records the commands whose fencing token is not stale.
	 */
	static final class FencedReceiver {

		private final FencingTokenGuard guard = FencingTokenGuard.of();

		private final List<Entry> accepted = new ArrayList<>();

		void order(FencingToken fence, String process) {
			if (this.guard.admit(fence)) {
				this.accepted.add(new Entry(fence.value(), process + ":order"));
			}
		}

		List<Entry> accepted() {
			return this.accepted;
		}

	}

}
