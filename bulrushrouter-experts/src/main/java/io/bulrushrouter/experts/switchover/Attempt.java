package io.bulrushrouter.experts.switchover;

/**
 * One attempt to change the map. Attempts are ordered by fencing token, then by number.
 *
 * @param fence the fencing token of the balancer's lease, from 1
 * @param number the sequence number of the attempt under that lease, from 1
 */
public record Attempt(long fence, int number) implements Comparable<Attempt> {

	/** An attempt that orders before every other. */
	public static final Attempt NONE = new Attempt(0, 0);

	/**
	 * Returns an attempt.
	 * @param fence the fencing token
	 * @param number the sequence number under that fencing token
	 * @return the attempt
	 */
	public static Attempt of(long fence, int number) {
		return new Attempt(fence, number);
	}

	/**
	 * Returns the later of two attempts.
	 * @param other the other attempt
	 * @return the later one
	 */
	public Attempt max(Attempt other) {
		return (compareTo(other) >= 0) ? this : other;
	}

	@Override
	public int compareTo(Attempt other) {
		int byFence = Long.compare(this.fence, other.fence);
		return (byFence != 0) ? byFence : Integer.compare(this.number, other.number);
	}

}
