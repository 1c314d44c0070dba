package io.bulrushrouter.kernel;

/**
 * A monotonic clock. Code that makes decisions takes a clock, or a time read from one, as
 * an argument.
 */
@FunctionalInterface
public interface TimeSource {

	/**
	 * Returns the time since an arbitrary origin.
	 * @return the time in nanoseconds
	 */
	long nanos();

	/**
	 * Returns the monotonic clock of the system.
	 * @return the clock
	 */
	static TimeSource ofSystem() {
		return System::nanoTime;
	}

}
