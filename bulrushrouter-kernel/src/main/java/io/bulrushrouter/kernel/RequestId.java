package io.bulrushrouter.kernel;

/**
 * A request as one entry process knows it.
 *
 * @param incarnation the entry process's incarnation, random at each start
 * @param number the request's number within the incarnation, from 1
 */
public record RequestId(long incarnation, long number) {

	/**
	 * Returns the identifier of one try of this request.
	 * @param attempt the try's number, from 1
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
