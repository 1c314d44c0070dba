package io.bulrushrouter.coordination.lease;

import java.util.Optional;
import java.util.concurrent.Executor;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.bulrushrouter.kernel.TimeSource;
import io.bulrushrouter.kernel.store.ObjectStore;

/**
 * Executes the actions of a {@link Lease} against an object store. All methods must be
 * called from one thread, and the executor must run the result handlers on the same
 * thread.
 */
public final class LeaseDriver {

	private static final Logger logger = LoggerFactory.getLogger(LeaseDriver.class);

	private final Lease lease;

	private final ObjectStore store;

	private final TimeSource time;

	private final Executor executor;

	private LeaseDriver(Lease lease, ObjectStore store, TimeSource time, Executor executor) {
		this.lease = lease;
		this.store = store;
		this.time = time;
		this.executor = executor;
	}

	/**
	 * Creates a driver.
	 * @param lease the lease
	 * @param store the store; it must not resolve lost write results itself, since the
	 * lease does
	 * @param time the clock
	 * @param executor runs the result handlers on the caller's thread, for example a
	 * duty's message queue; it must not drop any, since the lease takes no further action
	 * until the pending result arrives
	 * @return the driver
	 */
	public static LeaseDriver of(Lease lease, ObjectStore store, TimeSource time, Executor executor) {
		return new LeaseDriver(lease, store, time, executor);
	}

	/**
	 * Executes the next action, if one is due. Call it every few hundred milliseconds.
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
					update.write().writeId(), result);
		}
	}

	/**
	 * Returns the fencing token with which this process may act now.
	 * @return the token, or empty if the process does not hold the lease or may have lost
	 * it
	 */
	public Optional<FencingToken> held() {
		return this.lease.held(this.time.nanos());
	}

}
