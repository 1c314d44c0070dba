package io.bulrushrouter.kernel;

import java.util.Set;

/**
 * The HTTP statuses by which a response tells its caller that the request has not run and
 * never will. A caller repeats a request that must run once after these only, so they are
 * sent only where that is known. What an upstream sends with one of these statuses is no
 * such knowledge.
 */
public final class NotRunStatus {

	private static final Set<Integer> STATUSES = Set.of(408, 421, 429, 503);

	private NotRunStatus() {
	}

	/**
	 * Returns whether a status tells a caller that its request has not run.
	 * @param status the HTTP status
	 * @return whether it does
	 */
	public static boolean includes(int status) {
		return STATUSES.contains(status);
	}

}
