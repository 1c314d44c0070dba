package io.bulrushrouter.coordination.lease;

/**
 * A number that rises with each acquisition of a lease. Whoever obeys a lease's holder
 * refuses numbers that are lower than the highest it has seen.
 *
 * @param value the number; {@code 0} is lower than that of any holder
 * @see <a href=
 * "https://martin.kleppmann.com/2016/02/08/how-to-do-distributed-locking.html">Kleppmann,
 * How to do distributed locking (2016)</a>
 */
public record FencingToken(long value) implements Comparable<FencingToken> {

	/** The number before the first acquisition. */
	public static final FencingToken NONE = new FencingToken(0);

	/**
	 * Returns the number of the next acquisition.
	 * @return the number
	 */
	public FencingToken next() {
		return new FencingToken(this.value + 1);
	}

	/**
	 * Tells whether this number is out of date where another was seen.
	 * @param other the other
	 * @return whether this number is lower
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
