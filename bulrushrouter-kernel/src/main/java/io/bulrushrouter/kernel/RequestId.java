package io.bulrushrouter.kernel;

/**
 * Identifies a request at the entry process that received it.
 *
 * @param incarnation the incarnation of the entry process, random at each start
 * @param number the sequence number of the request within the incarnation, from 1
 */
public record RequestId(long incarnation, long number) {

	/**
	 * Returns the identifier of one attempt of this request.
	 * @param attempt the number of the attempt, from 1
	 * @return the identifier
	 */
	public AttemptId attempt(int attempt) {
		return new AttemptId(this, attempt);
	}

	@Override
	public String toString() {
		return Long.toHexString(this.incarnation) + "-" + this.number;
	}

}
