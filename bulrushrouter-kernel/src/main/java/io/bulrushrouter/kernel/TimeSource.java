package io.bulrushrouter.kernel;

/**
 * A monotonic clock. Decisions take it, or the time it gave, as an argument.
 */
@FunctionalInterface
public interface TimeSource {

	/**
	 * Returns the time since an arbitrary origin.
	 * @return nanoseconds
	 */
	long nanos();

	/**
	 * Returns the process's monotonic clock.
	 * @return the clock
	 */
	static TimeSource ofSystem() {
		return System::nanoTime;
	}

}
