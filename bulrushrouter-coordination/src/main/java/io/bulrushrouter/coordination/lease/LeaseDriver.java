package io.bulrushrouter.coordination.lease;

import java.util.Optional;
import java.util.concurrent.Executor;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.kernel.TimeSource;
import io.bulrushrouter.kernel.store.ObjectStore;

/**
 * Carries out a {@link Lease}'s actions at a store. All methods are called from one
 * thread, and the executor runs the answers on the same one.
 */
public final class LeaseDriver {

	private static final Logger logger = LoggerFactory.getLogger(LeaseDriver.class);

	private final Lease lease;

	private final ObjectStore store;

	private final TimeSource time;

	private final Executor thread;

	private LeaseDriver(Lease lease, ObjectStore store, TimeSource time, Executor thread) {
		this.lease = lease;
		this.store = store;
		this.time = time;
		this.thread = thread;
	}

	/**
	 * Returns a driver.
	 * @param lease the lease
	 * @param store the store, which must not settle lost answers itself
	 * @param time the clock
	 * @param thread runs the answers on the caller's thread, such as a duty's ring; it
	 * must drop none, since a missing answer ends all further actions
	 * @return the driver
	 */
	public static LeaseDriver of(Lease lease, ObjectStore store, TimeSource time, Executor thread) {
		return new LeaseDriver(lease, store, time, thread);
	}

	/**
	 * Does what is due. Called every few hundred milliseconds.
	 * @param wanted whether this process should hold the lease
	 */
	public void tick(boolean wanted) {
		LeaseAction action = this.lease.next(wanted, this.time.nanos());
		if (action instanceof LeaseAction.Look look) {
			this.store.read(look.key())
				.thenAcceptAsync((result) -> this.lease.looked(result, this.time.nanos()), this.thread);
		}
		else if (action instanceof LeaseAction.Change change) {
			this.store.write(change.write()).thenAcceptAsync((result) -> {
				log(change, result);
				this.lease.changed(result, this.time.nanos());
			}, this.thread);
		}
	}

	private void log(LeaseAction.Change change, Object result) {
		if (change.reason() != LeaseAction.Reason.RENEW) {
			logger.info("lease decision key={} reason={} writer={} result={}", this.lease.key(), change.reason(),
					change.write().writeId(), result);
		}
	}

	/**
	 * Returns the fencing number under which this process may act now.
	 * @return the number, or empty if it does not hold the lease
	 */
	public Optional<FencingNumber> held() {
		return this.lease.held(this.time.nanos());
	}

}
