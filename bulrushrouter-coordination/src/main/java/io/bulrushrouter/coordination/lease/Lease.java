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
 * The state machine of one process that takes part in a lease: decides what to read and
 * write, and whether the process may act as the holder. It does no I/O and must be called
 * from one thread; see {@link LeaseDriver}.
 *
 * <p>
 * The timings only limit how long two processes may both act as the holder. Safety
 * against a stale holder comes from the receivers of its commands, which reject old
 * fencing tokens.
 *
 * <pre>{@code
 * Lease lease = Lease.of(ObjectKey.of("lease", "plan-spring"), "entry-7.3f2a", LeaseTimings.CONTROL);
 * LeaseAction action = lease.next(true, nowNanos);
 * Optional<FencingToken> fence = lease.held(nowNanos);
 * }</pre>
 */
public final class Lease {

	private final ObjectKey key;

	private final String process;

	private final LeaseTimings timings;

	private Optional<Observation> lastObserved = Optional.empty();

	private Optional<Holding> held = Optional.empty();

	private Optional<PendingWrite> pendingWrite = Optional.empty();

	private boolean requestPending;

	private boolean readDue = true;

	private Optional<Long> pausedUntil = Optional.empty();

	private long writeCount;

	private Lease(ObjectKey key, String process, LeaseTimings timings) {
		this.key = key;
		this.process = process;
		this.timings = timings;
	}

	/**
	 * Creates the state machine of one process.
	 * @param key the lease's object
	 * @param process identifies the process and its incarnation; must be unique, also
	 * across restarts
	 * @param timings the timings of the lease
	 * @return the lease
	 */
	public static Lease of(ObjectKey key, String process, LeaseTimings timings) {
		return new Lease(key, process, timings);
	}

	/**
	 * Returns the lease's object.
	 * @return the key
	 */
	public ObjectKey key() {
		return this.key;
	}

	/**
	 * Returns the fencing token with which the process may act now.
	 * @param nowNanos the current time, in nanoseconds
	 * @return the token, or empty if the process does not hold the lease or may have lost
	 * it
	 */
	public Optional<FencingToken> held(long nowNanos) {
		return this.held.filter((holding) -> nowNanos - holding.deadlineNanos() < 0).map(Holding::fence);
	}

	/**
	 * Returns the next action. The result of each read or update must be reported through
	 * {@link #readAnswered} or {@link #writeAnswered}; until then the next action is
	 * {@link LeaseAction.Idle}.
	 * @param wanted whether the process should hold the lease
	 * @param nowNanos the current time, in nanoseconds, read immediately before the
	 * action is executed
	 * @return the action
	 */
	public LeaseAction next(boolean wanted, long nowNanos) {
		if (this.requestPending || isPaused(nowNanos)) {
			return new LeaseAction.Idle();
		}
		if (this.readDue) {
			boolean involved = wanted || this.held.isPresent() || this.pendingWrite.isPresent();
			return involved ? read() : new LeaseAction.Idle();
		}
		Observation current = this.lastObserved.orElseThrow();
		if (current.isHeldBy(this.process)) {
			return renewOrRelease(current, wanted, nowNanos);
		}
		return (wanted && !current.isMalformed()) ? acquireOrPoll(current, nowNanos) : new LeaseAction.Idle();
	}

	private boolean isPaused(long nowNanos) {
		return this.pausedUntil.filter((end) -> nowNanos - end < 0).isPresent();
	}

	private LeaseAction renewOrRelease(Observation current, boolean wanted, long nowNanos) {
		if (!wanted) {
			return update(LeaseAction.Reason.RELEASE, current, current.fence(), nowNanos);
		}
		boolean renewalNotDue = this.held.filter((holding) -> nowNanos - holding.renewAtNanos() < 0).isPresent();
		return renewalNotDue ? new LeaseAction.Idle()
				: update(LeaseAction.Reason.RENEW, current, current.fence(), nowNanos);
	}

	private LeaseAction acquireOrPoll(Observation current, long nowNanos) {
		if (current.isFree()) {
			return update(LeaseAction.Reason.ACQUIRE, current, current.fence().next(), nowNanos);
		}
		long takeOverDelay = this.timings.duration().plus(this.timings.clockDriftMargin()).toNanos();
		if (nowNanos - current.sinceNanos() < takeOverDelay) {
			return read();
		}
		return update(LeaseAction.Reason.TAKE_OVER, current, current.fence().next(), nowNanos);
	}

	private LeaseAction read() {
		this.requestPending = true;
		return new LeaseAction.Read(this.key);
	}

	private LeaseAction update(LeaseAction.Reason reason, Observation current, FencingToken fence, long nowNanos) {
		boolean release = reason == LeaseAction.Reason.RELEASE;
		if (release) {
			// The process stops acting as the holder, whatever the outcome of the write.
			this.held = Optional.empty();
		}
		this.writeCount++;
		LeaseRecord after = new LeaseRecord(fence, this.process, release);
		WriteId writeId = new WriteId(this.process + "#" + this.writeCount);
		this.requestPending = true;
		this.pendingWrite = Optional.of(new PendingWrite(writeId, after, nowNanos));
		return new LeaseAction.Update(new Write(this.key, current.version(), after.toBytes(), writeId), reason);
	}

	/**
	 * Handles the result of a {@link LeaseAction.Read}.
	 * @param result the result
	 * @param nowNanos the time at which the result arrived, in nanoseconds
	 */
	public void readAnswered(ReadResult result, long nowNanos) {
		this.requestPending = false;
		pause(this.timings.pollInterval(), nowNanos);
		if (result instanceof ReadResult.Unavailable) {
			return;
		}
		this.readDue = false;
		if (result instanceof ReadResult.Found found) {
			observe(found.object(), nowNanos);
		}
		else {
			this.lastObserved = Optional.of(new Observation(Write.ABSENT, Optional.empty(), nowNanos));
		}
		this.pendingWrite = Optional.empty();
		if (!isHeldByOther()) {
			this.pausedUntil = Optional.empty();
		}
	}

	private void observe(VersionedObject object, long nowNanos) {
		Optional<PendingWrite> appliedWrite = this.pendingWrite
			.filter((write) -> write.writeId().equals(object.writeId()));
		if (appliedWrite.isPresent()) {
			applyWrite(appliedWrite.get(), object.version(), nowNanos);
		}
		else if (this.lastObserved.filter((before) -> before.version() == object.version()).isEmpty()) {
			this.lastObserved = Optional
				.of(new Observation(object.version(), LeaseRecord.ofBytes(object.value()), nowNanos));
			this.held = this.held.filter((holding) -> this.lastObserved.get().isHeldBy(this.process));
		}
	}

	private boolean isHeldByOther() {
		return this.lastObserved.filter((current) -> !current.isFree() && !current.isHeldBy(this.process)).isPresent();
	}

	/**
	 * Handles the result of a {@link LeaseAction.Update}.
	 * @param result the result
	 * @param nowNanos the time at which the result arrived, in nanoseconds
	 */
	public void writeAnswered(WriteResult result, long nowNanos) {
		this.requestPending = false;
		this.pausedUntil = Optional.empty();
		if (result instanceof WriteResult.Written written) {
			applyWrite(this.pendingWrite.orElseThrow(), written.version(), nowNanos);
			this.pendingWrite = Optional.empty();
		}
		else if (result instanceof WriteResult.Conflict) {
			this.held = Optional.empty();
			this.pendingWrite = Optional.empty();
			this.readDue = true;
		}
		else if (result instanceof WriteResult.Refused) {
			this.pendingWrite = Optional.empty();
			pause(this.timings.retryDelay(), nowNanos);
		}
		else {
			this.readDue = true;
		}
	}

	private void applyWrite(PendingWrite write, long version, long nowNanos) {
		this.lastObserved = Optional.of(new Observation(version, Optional.of(write.content()), nowNanos));
		if (write.content().released()) {
			this.held = Optional.empty();
			return;
		}
		long renewAt = write.sentNanos() + this.timings.renewalInterval().toNanos();
		long deadline = write.sentNanos() + this.timings.duration().toNanos();
		this.held = Optional.of(new Holding(write.content().fence(), renewAt, deadline));
	}

	private void pause(Duration duration, long nowNanos) {
		this.pausedUntil = Optional.of(nowNanos + duration.toNanos());
	}

	private record Holding(FencingToken fence, long renewAtNanos, long deadlineNanos) {
	}

	private record PendingWrite(WriteId writeId, LeaseRecord content, long sentNanos) {
	}

	/**
	 * The lease's object as last read or written.
	 *
	 * @param version its version
	 * @param content its content; empty if it is absent or malformed
	 * @param sinceNanos when this version was first observed, in nanoseconds
	 */
	private record Observation(long version, Optional<LeaseRecord> content, long sinceNanos) {

		private FencingToken fence() {
			return this.content.map(LeaseRecord::fence).orElse(FencingToken.NONE);
		}

		private boolean isHeldBy(String process) {
			return this.content.filter((record) -> !record.released() && record.holder().equals(process)).isPresent();
		}

		private boolean isFree() {
			return (this.version == Write.ABSENT) || this.content.filter(LeaseRecord::released).isPresent();
		}

		private boolean isMalformed() {
			return this.version != Write.ABSENT && this.content.isEmpty();
		}

	}

}
