package io.bulrushrouter.coordination.lease;

import io.bulrushrouter.kernel.store.ObjectKey;
import io.bulrushrouter.kernel.store.Write;

/**
 * What a lease's contender does next.
 */
public sealed interface LeaseAction {

	/**
	 * Nothing for now.
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
	 * @param reason why, for the log
	 */
	record Update(Write write, Reason reason) implements LeaseAction {
	}

	/**
	 * Why a lease's object is written.
	 */
	enum Reason {

		/** Nobody holds the lease. */
		ACQUIRE,

		/** The holder has not renewed for a whole term. */
		TAKE_OVER,

		/** This process holds it and goes on. */
		RENEW,

		/** This process holds it and gives it up. */
		RELEASE

	}

}
