package io.bulrushrouter.kernel.store;

import java.util.List;

/**
 * The platform's list of live and leaving instances. It lags: it may place work, and no
 * answer may rest on it.
 */
@FunctionalInterface
public interface LiveList {

	/**
	 * Returns the list as last seen.
	 * @return the instances
	 */
	List<LiveInstance> instances();

}
