package io.bulrushrouter.coordination.lease;

import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.Write;

/**
 * The next action of a process that takes part in a lease.
 */
public sealed interface LeaseAction {

	/**
	 * Do nothing for now.
	 */
	record Idle() implements LeaseAction {
	}

	/**
	 * Read the lease's object.
	 *
	 * @param key the object
	 */
	record Read(ObjectKey key) implements LeaseAction {
	}

	/**
	 * Write the lease's object.
	 *
	 * @param write the conditional write
	 * @param reason the reason for the write, for the log
	 */
	record Update(Write write, Reason reason) implements LeaseAction {
	}

	/**
	 * The reasons for writing a lease's object.
	 */
	enum Reason {

		/** Nobody holds the lease. */
		ACQUIRE,

		/**
		 * The holder has not renewed the lease for its full duration plus the clock drift
		 * margin.
		 */
		TAKE_OVER,

		/** This process holds the lease and extends it. */
		RENEW,

		/** This process holds the lease and gives it up. */
		RELEASE

	}

}
