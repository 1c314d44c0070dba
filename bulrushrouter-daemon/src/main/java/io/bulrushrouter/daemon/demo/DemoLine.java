package io.bulrushrouter.daemon.demo;

/**
 * The result of checking one promise: expected value, actual value and whether they
 * match.
 *
 * @param promise the promise
 * @param asked the expected value or limit
 * @param came the actual value
 * @param held whether the promise held
 */
public record DemoLine(String promise, String asked, String came, boolean held) {

	static DemoLine ofCount(String promise, long asked, long came) {
		return new DemoLine(promise, Long.toString(asked), Long.toString(came), asked == came);
	}

}
