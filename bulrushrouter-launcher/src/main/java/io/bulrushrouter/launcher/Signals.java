package io.bulrushrouter.launcher;

import sun.misc.Signal;

/**
 * Installs the signal handlers: {@code TERM} and {@code INT} stop the process, and
 * {@code HUP} reloads the settings.
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
