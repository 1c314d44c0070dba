package io.bulrushrouter.coordination;

/**
 * How many calls of the platform a process may make in one role.
 *
 * @param readsPerSecond reads and lists a second, and as many new watches, over time
 * @param writesPerSecond writes a second, over time
 * @param maxBurst the most calls of either kind that may come at once
 */
public record CallBudget(double readsPerSecond, double writesPerSecond, double maxBurst) {

	/** The budget of an entry, for its own needs and its operators' acts. */
	public static final CallBudget ENTRY = new CallBudget(0.5, 0.1, 10);

	/** The budget of a sidecar, without the claims of non-idempotent requests. */
	public static final CallBudget SIDECAR = new CallBudget(0.5, 0.05, 5);

	/** The budget of a configuration relay, next to its process's own. */
	public static final CallBudget RELAY = new CallBudget(1, 0, 10);

	/** The budget of one lease's holder, next to its process's own. */
	public static final CallBudget DUTY_HOLDER = new CallBudget(4, 2, 20);

	/**
	 * Checks the parts.
	 */
	public CallBudget {
		if (readsPerSecond < 0 || writesPerSecond < 0 || maxBurst < 1) {
			throw new IllegalArgumentException("a budget needs rates of at least 0 and a burst of at least 1");
		}
	}

	double perSecond(CallKind kind) {
		return (kind == CallKind.WRITE) ? this.writesPerSecond : this.readsPerSecond;
	}

}
