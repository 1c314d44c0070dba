package io.bulrushrouter.kernel;

/**
 * One try of a request at one upstream.
 *
 * @param request the request
 * @param attempt the try's number, from 1
 */
public record AttemptId(RequestId request, int attempt) {

	@Override
	public String toString() {
		return this.request + "/" + this.attempt;
	}

}
