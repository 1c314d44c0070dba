package io.bulrushrouter.coordination.lease;

/**
 * A fencing token: a number that increases with each acquisition of a lease. A receiver
 * of the lease holder's commands rejects tokens that are lower than the highest it has
 * seen.
 *
 * @param value the number; {@code 0} is lower than the token of any holder
 * @see <a href=
 * "https://martin.kleppmann.com/2016/02/08/how-to-do-distributed-locking.html">Kleppmann,
 * How to do distributed locking (2016)</a>
 */
public record FencingToken(long value) implements Comparable<FencingToken> {

	/** The token before the first acquisition. */
	public static final FencingToken NONE = new FencingToken(0);

	/**
	 * Returns the token of the next acquisition.
	 * @return the token
	 */
	public FencingToken next() {
		return new FencingToken(this.value + 1);
	}

	/**
	 * Returns whether this token is stale compared with another.
	 * @param other the other token
	 * @return whether this token is lower
	 */
	public boolean isOlderThan(FencingToken other) {
		return this.value < other.value;
	}

	@Override
	public int compareTo(FencingToken other) {
		return Long.compare(this.value, other.value);
	}

	@Override
	public String toString() {
		return Long.toString(this.value);
	}

}
