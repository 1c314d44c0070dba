package io.bulrushrouter.coordination.lease;

import java.time.Duration;
import java.util.Optional;

import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.ReadResult;
import io.bulrushrouter.kernel.store.VersionedObject;
import io.bulrushrouter.kernel.store.Write;
import io.bulrushrouter.kernel.store.WriteId;
import io.bulrushrouter.kernel.store.WriteResult;

/**
 * One process's part in a lease: decides what to read and write, and whether the process
 * may act as the holder. It does no I/O and is driven from one thread; see
 * {@link LeaseDriver}.
 *
 * <p>
 * The time rules only keep two holders from working against each other for long. What
 * makes a stale holder harmless is that whoever it orders refuses old fencing numbers.
 *
 * <pre>{@code
 * Lease lease = Lease.of(ObjectKey.of("lease", "plan-spring"), "entry-7.3f2a", LeaseTerms.CONTROL);
 * LeaseAction action = lease.next(true, nowNanos);
 * Optional<FencingNumber> fence = lease.held(nowNanos);
 * }</pre>
 */
public final class Lease {

	private final ObjectKey key;

	private final String process;

	private final LeaseTerms terms;

	private Optional<Seen> seen = Optional.empty();

	private Optional<Held> held = Optional.empty();

	private Optional<Sent> sent = Optional.empty();

	private boolean asking;

	private boolean lookDue = true;

	private Optional<Long> pausedUntil = Optional.empty();

	private long marks;

	private Lease(ObjectKey key, String process, LeaseTerms terms) {
		this.key = key;
		this.process = process;
		this.terms = terms;
	}

	/**
	 * Returns the part of one process.
	 * @param key the lease's object
	 * @param process names the process and its incarnation; no two processes, also not
	 * one after the other, may have the same
	 * @param terms the lease's times
	 * @return the process's part
	 */
	public static Lease of(ObjectKey key, String process, LeaseTerms terms) {
		return new Lease(key, process, terms);
	}

	/**
	 * Returns the lease's object.
	 * @return the key
	 */
	public ObjectKey key() {
		return this.key;
	}

	/**
	 * Returns the fencing number under which the process may act now.
	 * @param nowNanos the time
	 * @return the number, or empty if the process does not hold the lease or may have
	 * lost it
	 */
	public Optional<FencingNumber> held(long nowNanos) {
		return this.held.filter((holding) -> nowNanos - holding.deadline() < 0).map(Held::fence);
	}

	/**
	 * Returns what to do now. Each action is answered by {@link #looked} or
	 * {@link #changed}; until then there is no other.
	 * @param wanted whether the process should hold the lease
	 * @param nowNanos the time, read right before the action is carried out
	 * @return the action
	 */
	public LeaseAction next(boolean wanted, long nowNanos) {
		if (this.asking || isPaused(nowNanos)) {
			return new LeaseAction.Idle();
		}
		if (this.lookDue) {
			boolean concerned = wanted || this.held.isPresent() || this.sent.isPresent();
			return concerned ? look() : new LeaseAction.Idle();
		}
		Seen current = this.seen.orElseThrow();
		if (current.isHeldBy(this.process)) {
			return keep(current, wanted, nowNanos);
		}
		return (wanted && !current.isMalformed()) ? contend(current, nowNanos) : new LeaseAction.Idle();
	}

	private boolean isPaused(long nowNanos) {
		return this.pausedUntil.filter((end) -> nowNanos - end < 0).isPresent();
	}

	private LeaseAction keep(Seen current, boolean wanted, long nowNanos) {
		if (!wanted) {
			return change(LeaseAction.Reason.RELEASE, current, current.fence(), nowNanos);
		}
		boolean early = this.held.filter((holding) -> nowNanos - holding.renewAt() < 0).isPresent();
		return early ? new LeaseAction.Idle() : change(LeaseAction.Reason.RENEW, current, current.fence(), nowNanos);
	}

	private LeaseAction contend(Seen current, long nowNanos) {
		if (current.isFree()) {
			return change(LeaseAction.Reason.ACQUIRE, current, current.fence().next(), nowNanos);
		}
		long patience = this.terms.term().plus(this.terms.margin()).toNanos();
		if (nowNanos - current.since() < patience) {
			return look();
		}
		return change(LeaseAction.Reason.TAKE_OVER, current, current.fence().next(), nowNanos);
	}

	private LeaseAction look() {
		this.asking = true;
		return new LeaseAction.Look(this.key);
	}

	private LeaseAction change(LeaseAction.Reason reason, Seen current, FencingNumber fence, long nowNanos) {
		boolean release = reason == LeaseAction.Reason.RELEASE;
		if (release) {
			// Whatever comes of the write, the process no longer acts as the holder.
			this.held = Optional.empty();
		}
		this.marks++;
		LeaseRecord after = new LeaseRecord(fence, this.process, release);
		WriteId mark = new WriteId(this.process + "#" + this.marks);
		this.asking = true;
		this.sent = Optional.of(new Sent(mark, after, nowNanos));
		return new LeaseAction.Change(new Write(this.key, current.version(), after.toBytes(), mark), reason);
	}

	/**
	 * Takes the answer to a {@link LeaseAction.Look}.
	 * @param result the answer
	 * @param nowNanos the time at which it came
	 */
	public void looked(ReadResult result, long nowNanos) {
		this.asking = false;
		pause(this.terms.poll(), nowNanos);
		if (result instanceof ReadResult.Unavailable) {
			return;
		}
		this.lookDue = false;
		if (result instanceof ReadResult.Found found) {
			take(found.object(), nowNanos);
		}
		else {
			this.seen = Optional.of(new Seen(Write.ABSENT, Optional.empty(), nowNanos));
		}
		this.sent = Optional.empty();
		if (!isHeldByOther()) {
			this.pausedUntil = Optional.empty();
		}
	}

	private void take(VersionedObject object, long nowNanos) {
		Optional<Sent> effective = this.sent.filter((write) -> write.mark().equals(object.writeId()));
		if (effective.isPresent()) {
			own(effective.get(), object.version(), nowNanos);
		}
		else if (this.seen.filter((before) -> before.version() == object.version()).isEmpty()) {
			this.seen = Optional.of(new Seen(object.version(), LeaseRecord.ofBytes(object.value()), nowNanos));
			this.held = this.held.filter((holding) -> this.seen.get().isHeldBy(this.process));
		}
	}

	private boolean isHeldByOther() {
		return this.seen.filter((current) -> !current.isFree() && !current.isHeldBy(this.process)).isPresent();
	}

	/**
	 * Takes the answer to a {@link LeaseAction.Change}.
	 * @param result the answer
	 * @param nowNanos the time at which it came
	 */
	public void changed(WriteResult result, long nowNanos) {
		this.asking = false;
		this.pausedUntil = Optional.empty();
		if (result instanceof WriteResult.Written written) {
			own(this.sent.orElseThrow(), written.version(), nowNanos);
			this.sent = Optional.empty();
		}
		else if (result instanceof WriteResult.Conflict) {
			this.held = Optional.empty();
			this.sent = Optional.empty();
			this.lookDue = true;
		}
		else if (result instanceof WriteResult.Refused) {
			this.sent = Optional.empty();
			pause(this.terms.retry(), nowNanos);
		}
		else {
			this.lookDue = true;
		}
	}

	private void own(Sent effective, long version, long nowNanos) {
		this.seen = Optional.of(new Seen(version, Optional.of(effective.lease()), nowNanos));
		if (effective.lease().released()) {
			this.held = Optional.empty();
			return;
		}
		long renewAt = effective.atNanos() + this.terms.renewal().toNanos();
		long deadline = effective.atNanos() + this.terms.term().toNanos();
		this.held = Optional.of(new Held(effective.lease().fence(), renewAt, deadline));
	}

	private void pause(Duration pause, long nowNanos) {
		this.pausedUntil = Optional.of(nowNanos + pause.toNanos());
	}

	private record Held(FencingNumber fence, long renewAt, long deadline) {
	}

	private record Sent(WriteId mark, LeaseRecord lease, long atNanos) {
	}

	/**
	 * The lease's object as last seen.
	 *
	 * @param version its version
	 * @param lease its content; empty if it is absent or malformed
	 * @param since when this version was first seen
	 */
	private record Seen(long version, Optional<LeaseRecord> lease, long since) {

		private FencingNumber fence() {
			return this.lease.map(LeaseRecord::fence).orElse(FencingNumber.NONE);
		}

		private boolean isHeldBy(String process) {
			return this.lease.filter((record) -> !record.released() && record.holder().equals(process)).isPresent();
		}

		private boolean isFree() {
			return (this.version == Write.ABSENT) || this.lease.filter(LeaseRecord::released).isPresent();
		}

		private boolean isMalformed() {
			return this.version != Write.ABSENT && this.lease.isEmpty();
		}

	}

}
