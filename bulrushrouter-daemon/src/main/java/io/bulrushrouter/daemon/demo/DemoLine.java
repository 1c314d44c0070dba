package io.bulrushrouter.daemon.demo;

/**
 * One promise, what was asked for and what came of it.
 *
 * @param promise the promise
 * @param asked what was asked for
 * @param came what came
 * @param held whether the promise held
 */
public record DemoLine(String promise, String asked, String came, boolean held) {

	static DemoLine ofCount(String promise, long asked, long came) {
		return new DemoLine(promise, Long.toString(asked), Long.toString(came), asked == came);
	}

}
