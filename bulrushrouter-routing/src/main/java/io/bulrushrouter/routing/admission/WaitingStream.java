package io.bulrushrouter.routing.admission;

import io.bulrushrouter.kernel.OrganisationId;

/**
 * A stream that is offered to an {@link AdmissionQueue}. Two of them are equal only if
 * they are the same.
 *
 * @param <T> the type of the stream
 */
public final class WaitingStream<T> {

	private final T item;

	private final OrganisationId organisation;

	private final int priority;

	private final long cost;

	private final boolean returning;

	private final long arrivedNanos;

	private final long punctualUntilNanos;

	private final long startByNanos;

	/** Whether the stream is in the lane of those that can meet their objective. */
	boolean punctual;

	/**
	 * Creates a waiting stream.
	 * @param item the stream
	 * @param organisation its organisation
	 * @param priority its priority; 0 is the most urgent
	 * @param cost its expected cost, of which {@link AdmissionQueue#MEAN_COST} is the
	 * mean
	 * @param returning whether its caller returned after a refusal or a broken stream
	 * @param arrivedNanos when it arrived, on the monotonic clock
	 * @param punctualUntilNanos the time until which it must be started to meet its
	 * objective
	 * @param startByNanos the time until which it must be started before its caller
	 * leaves
	 */
	public WaitingStream(T item, OrganisationId organisation, int priority, long cost, boolean returning,
			long arrivedNanos, long punctualUntilNanos, long startByNanos) {
		this.item = item;
		this.organisation = organisation;
		this.priority = priority;
		this.cost = cost;
		this.returning = returning;
		this.arrivedNanos = arrivedNanos;
		this.punctualUntilNanos = Math.min(punctualUntilNanos, startByNanos);
		this.startByNanos = startByNanos;
	}

	/**
	 * Returns the stream.
	 * @return the stream
	 */
	public T item() {
		return this.item;
	}

	/**
	 * Returns the organisation.
	 * @return the organisation
	 */
	public OrganisationId organisation() {
		return this.organisation;
	}

	/**
	 * Returns the priority.
	 * @return the priority; 0 is the most urgent
	 */
	public int priority() {
		return this.priority;
	}

	long cost() {
		return this.cost;
	}

	/**
	 * Returns whether the caller returned after a refusal or a broken stream.
	 * @return whether it returned
	 */
	public boolean returning() {
		return this.returning;
	}

	/**
	 * Returns when the stream arrived.
	 * @return the monotonic time, in nanoseconds
	 */
	public long arrivedNanos() {
		return this.arrivedNanos;
	}

	long punctualUntilNanos() {
		return this.punctualUntilNanos;
	}

	/**
	 * Returns until when the stream must be started before its caller leaves.
	 * @return the monotonic time, in nanoseconds
	 */
	public long startByNanos() {
		return this.startByNanos;
	}

}
