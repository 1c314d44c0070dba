package io.bulrushrouter.launcher;

import sun.misc.Signal;

/**
 * What the process does on signals.
 */
final class Signals {

	private Signals() {
	}

	static void handle(Runnable stop, Runnable reload) {
		Signal.handle(new Signal("TERM"), (signal) -> stop.run());
		Signal.handle(new Signal("INT"), (signal) -> stop.run());
		Signal.handle(new Signal("HUP"), (signal) -> reload.run());
	}

}
