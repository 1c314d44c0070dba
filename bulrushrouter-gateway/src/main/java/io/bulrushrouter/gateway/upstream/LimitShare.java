package io.bulrushrouter.gateway.upstream;

/**
 * Divides a limit that applies to all entries together.
 */
@FunctionalInterface
public interface LimitShare {

	/**
	 * Returns this entry's share of the limit of an upstream.
	 * @param upstream the upstream's identifier
	 * @param requestsPerSecond the limit over all entries
	 * @return the share in requests per second, above 0
	 */
	double share(String upstream, double requestsPerSecond);

	/**
	 * Returns whether this entry is among those that divide the limit of an upstream. The
	 * others only send rare requests, by which they notice that the limit is lifted.
	 * @param upstream the upstream's identifier
	 * @param requestsPerSecond the limit over all entries
	 * @return whether it is among them
	 */
	default boolean sends(String upstream, double requestsPerSecond) {
		return true;
	}

}
