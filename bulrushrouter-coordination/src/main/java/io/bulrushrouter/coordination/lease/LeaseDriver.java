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

	private final Executor executor;

	private LeaseDriver(Lease lease, ObjectStore store, TimeSource time, Executor thread) {
		this.lease = lease;
		this.store = store;
		this.time = time;
		this.executor = thread;
	}

	/**
	 * Returns a driver.
	 * @param lease the lease
	 * @param store the store, which must not settle lost answers itself
	 * @param time the clock
	 * @param executor runs the answers on the caller's thread, such as a duty's ring; it
	 * must drop none, since a missing answer ends all further actions
	 * @return the driver
	 */
	public static LeaseDriver of(Lease lease, ObjectStore store, TimeSource time, Executor executor) {
		return new LeaseDriver(lease, store, time, executor);
	}

	/**
	 * Does what is due. Called every few hundred milliseconds.
	 * @param wanted whether this process should hold the lease
	 */
	public void tick(boolean wanted) {
		LeaseAction action = this.lease.next(wanted, this.time.nanos());
		if (action instanceof LeaseAction.Read read) {
			this.store.read(read.key())
				.thenAcceptAsync((result) -> this.lease.readAnswered(result, this.time.nanos()), this.executor);
		}
		else if (action instanceof LeaseAction.Update update) {
			this.store.write(update.write()).thenAcceptAsync((result) -> {
				log(update, result);
				this.lease.writeAnswered(result, this.time.nanos());
			}, this.executor);
		}
	}

	private void log(LeaseAction.Update update, Object result) {
		if (update.reason() != LeaseAction.Reason.RENEW) {
			logger.info("lease decision key={} reason={} writer={} result={}", this.lease.key(), update.reason(),
					update.write().writer(), result);
		}
	}

	/**
	 * Returns the fencing number under which this process may act now.
	 * @return the number, or empty if it does not hold the lease
	 */
	public Optional<FencingToken> held() {
		return this.lease.held(this.time.nanos());
	}

}
