package io.bulrushrouter.coordination;

/**
 * The rate limits on calls to the platform by a process in one role.
 *
 * @param readsPerSecond the sustained rate of reads and lists, and separately of new
 * watches, per second
 * @param writesPerSecond the sustained rate of writes per second
 * @param maxBurst the maximum number of calls of each kind in one burst
 */
public record CallBudget(double readsPerSecond, double writesPerSecond, double maxBurst) {

	/** The budget of an entry, for its own calls and the actions of its operators. */
	public static final CallBudget ENTRY = new CallBudget(0.5, 0.1, 10);

	/** The budget of a sidecar, excluding the claims of non-idempotent requests. */
	public static final CallBudget SIDECAR = new CallBudget(0.5, 0.05, 5);

	/** The budget of a configuration relay, in addition to that of its process. */
	public static final CallBudget RELAY = new CallBudget(1, 0, 10);

	/** The budget of the holder of one lease, in addition to that of its process. */
	public static final CallBudget DUTY_HOLDER = new CallBudget(4, 2, 20);

	/**
	 * Validates the components.
	 */
	public CallBudget {
		if (readsPerSecond < 0 || writesPerSecond < 0 || maxBurst < 1) {
			throw new IllegalArgumentException("call rates must not be negative and the burst must be at least 1");
		}
	}

	double perSecond(CallKind kind) {
		return (kind == CallKind.WRITE) ? this.writesPerSecond : this.readsPerSecond;
	}

}
