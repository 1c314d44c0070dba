package io.bulrushrouter.kernel;

/**
 * Identifies one attempt to run a request at one upstream.
 *
 * @param request the request
 * @param attempt the number of the attempt, from 1
 */
public record AttemptId(RequestId request, int attempt) {

	@Override
	public String toString() {
		return this.request + "/" + this.attempt;
	}

}
