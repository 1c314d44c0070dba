package io.bulrushrouter.experts.switchover;

/**
 * One attempt to change the map, ordered by fencing number, then by number.
 *
 * @param fence the fencing number of the balancer's lease, from 1
 * @param number the balancer's count of attempts under that lease, from 1
 */
public record Attempt(long fence, int number) implements Comparable<Attempt> {

	/** Lower than every attempt. */
	public static final Attempt NONE = new Attempt(0, 0);

	/**
	 * Returns an attempt.
	 * @param fence the fencing number
	 * @param number the count under that fencing number
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
