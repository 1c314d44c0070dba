package io.bulrushrouter.coordination.lease;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import io.bulrushrouter.coordination.BackOff;
import io.bulrushrouter.coordination.FaultyStore;
import io.bulrushrouter.coordination.ManualClock;
import io.bulrushrouter.coordination.SettledWrites;
import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ObjectStore;
import io.bulrushrouter.kernel.store.ReadResult;
import io.bulrushrouter.kernel.store.VersionedObject;
import io.bulrushrouter.kernel.store.Write;
import io.bulrushrouter.kernel.store.WriteId;
import io.bulrushrouter.kernel.store.WriteResult;

/**
 * A process that contends for a lease. While it holds it, it appends acts to an object
 * and gives orders to a fenced receiver.
 */
final class Contender {

	static final int TICKS_PER_ACT = 4;

	static final ObjectKey JOURNAL = ObjectKey.of("journal", "a");

	private static final ObjectKey LEASE = ObjectKey.of("lease", "a");

	private final String name;

	private final FaultyStore store;

	private final ObjectStore settled;

	private final LeaseDriver driver;

	private final Receiver receiver;

	private final List<String> acknowledged;

	private Optional<String> act = Optional.empty();

	private boolean busy;

	private int acts;

	private int ticks;

	private int ticksSinceFault;

	Contender(String name, FaultyStore store, ManualClock clock, Receiver receiver, List<String> acknowledged) {
		this.name = name;
		this.store = store;
		this.settled = SettledWrites.of(store, 2, BackOff.PLATFORM, (pause) -> CompletableFuture.completedFuture(null),
				new Random(1));
		this.driver = LeaseDriver.of(Lease.of(LEASE, name, LeaseTerms.CONTROL), store, clock, Runnable::run);
		this.receiver = receiver;
		this.acknowledged = acknowledged;
	}

	FaultyStore store() {
		return this.store;
	}

	Optional<FencingNumber> held() {
		return this.driver.held();
	}

	String name() {
		return this.name;
	}

	int ticksSinceFault() {
		return this.ticksSinceFault;
	}

	void tick(boolean wanted) {
		this.ticks++;
		this.ticksSinceFault += this.store.isStruck() ? 1 : 0;
		if (this.store.isPaused() || this.store.isKilled()) {
			return;
		}
		this.driver.tick(wanted);
		if (this.ticks % TICKS_PER_ACT == 0 && !this.busy && !this.store.isPaused() && !this.store.isKilled()) {
			held().ifPresent(this::work);
		}
	}

	private void work(FencingNumber fence) {
		this.busy = true;
		this.settled.read(JOURNAL).thenAccept((seen) -> {
			this.receiver.order(fence, this.name);
			if (seen instanceof ReadResult.Unavailable) {
				this.busy = false;
			}
			else {
				append(fence,
						(seen instanceof ReadResult.Found found) ? Optional.of(found.object()) : Optional.empty());
			}
		});
	}

	private void append(FencingNumber fence, Optional<VersionedObject> journal) {
		String text = journal.map((object) -> new String(object.value(), StandardCharsets.UTF_8)).orElse("");
		if (this.act.filter(text::contains).isPresent()) {
			finish();
			return;
		}
		if (fenceOf(text) > fence.value()) {
			this.busy = false;
			return;
		}
		String id = this.act.orElseGet(this::nextAct);
		this.act = Optional.of(id);
		byte[] value = (text + fence + " " + id + "\n").getBytes(StandardCharsets.UTF_8);
		long version = journal.map(VersionedObject::version).orElse(Write.ABSENT);
		this.acts++;
		this.settled.write(new Write(JOURNAL, version, value, new WriteId(id + "/" + this.acts)))
			.thenAccept((result) -> {
				this.busy = false;
				if (result instanceof WriteResult.Written) {
					finish();
				}
			});
	}

	private String nextAct() {
		this.acts++;
		return this.name + ":" + this.acts + ";";
	}

	private void finish() {
		this.busy = false;
		this.act.ifPresent(this.acknowledged::add);
		this.act = Optional.empty();
	}

	static List<Entry> entries(String journal) {
		return journal.lines()
			.map((line) -> line.split(" "))
			.map((part) -> new Entry(Long.parseLong(part[0]), part[1]))
			.toList();
	}

	private static long fenceOf(String journal) {
		return entries(journal).stream().mapToLong(Entry::fence).max().orElse(0);
	}

	record Entry(long fence, String act) {

		String process() {
			return this.act.substring(0, this.act.indexOf(':'));
		}

	}

	/**
	 * Obeys orders that carry a current fencing number.
	 */
	static final class Receiver {

		private final FenceGuard guard = FenceGuard.of();

		private final List<Entry> obeyed = new ArrayList<>();

		void order(FencingNumber fence, String process) {
			if (this.guard.admit(fence)) {
				this.obeyed.add(new Entry(fence.value(), process + ":order"));
			}
		}

		List<Entry> obeyed() {
			return this.obeyed;
		}

	}

}
