package io.bulrushrouter.kernel.store;

import java.util.List;

/**
 * The platform's list of live and draining instances. It is eventually consistent:
 * placement may use it as a hint, but no answer may depend on it.
 */
@FunctionalInterface
public interface LiveList {

	/**
	 * Returns the instances of the latest list that was received.
	 * @return the instances
	 */
	List<LiveInstance> instances();

}
