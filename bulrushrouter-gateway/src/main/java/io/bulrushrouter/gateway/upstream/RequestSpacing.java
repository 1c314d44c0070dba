package io.bulrushrouter.gateway.upstream;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Spaces this entry's requests to upstreams whose request rate over all entries is
 * limited. Nothing is saved up while an upstream gets no requests, since what all entries
 * had saved up could arrive at once. Not thread-safe.
 */
final class RequestSpacing {

	private final LimitShare share;

	private final Map<String, Limit> limits = new HashMap<>();

	/**
	 * Creates an instance without limits.
	 * @param share divides a limit among the entries
	 */
	RequestSpacing(LimitShare share) {
		this.share = share;
	}

	/**
	 * Limits an upstream. The time of the last request remains known if it was limited
	 * before.
	 * @param id the upstream's identifier
	 * @param requestsPerSecond the limit over all entries
	 * @param phase the share of the interval between two requests until the first one,
	 * from 0 to 1; entries that learn of a limit together have different ones
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	void limit(String id, double requestsPerSecond, double phase, long nowNanos) {
		Limit known = this.limits.get(id);
		long lastSentNanos = (known != null) ? known.lastSentNanos()
				: nowNanos - (long) ((1 - phase) * intervalNanos(id, requestsPerSecond));
		boolean used = known != null && known.used();
		this.limits.put(id, new Limit(requestsPerSecond, lastSentNanos, used));
	}

	/**
	 * Lifts the limit of an upstream.
	 * @param id the upstream's identifier
	 * @return whether it was limited
	 */
	boolean lift(String id) {
		return this.limits.remove(id) != null;
	}

	/**
	 * Returns the limit of an upstream.
	 * @param id the upstream's identifier
	 * @return the limit over all entries, or empty if there is none
	 */
	OptionalDouble limit(String id) {
		Limit limit = this.limits.get(id);
		return (limit != null) ? OptionalDouble.of(limit.requestsPerSecond()) : OptionalDouble.empty();
	}

	boolean isEmpty() {
		return this.limits.isEmpty();
	}

	int size() {
		return this.limits.size();
	}

	/**
	 * Returns this entry's share of a limit.
	 * @param id the upstream's identifier
	 * @param requestsPerSecond the limit over all entries
	 * @return the share in requests per second
	 */
	double share(String id, double requestsPerSecond) {
		return this.share.share(id, requestsPerSecond);
	}

	/**
	 * Returns the time until this entry may send the next request.
	 * @param id the upstream's identifier
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the time in nanoseconds, 0 if it may send one now
	 */
	long waitNanos(String id, long nowNanos) {
		Limit limit = this.limits.get(id);
		if (limit == null) {
			return 0;
		}
		double passedNanos = nowNanos - limit.lastSentNanos();
		return (long) Math.max(0, Math.ceil(intervalNanos(id, limit.requestsPerSecond()) - passedNanos));
	}

	private double intervalNanos(String id, double requestsPerSecond) {
		return TimeUnit.SECONDS.toNanos(1) / share(id, requestsPerSecond);
	}

	/**
	 * Records that an upstream was chosen for a request.
	 * @param id the upstream's identifier
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	void sent(String id, long nowNanos) {
		this.limits.computeIfPresent(id, (key, limit) -> new Limit(limit.requestsPerSecond(), nowNanos, true));
	}

	/**
	 * Returns whether a request was chosen for a limited upstream since it is limited.
	 * @param id the upstream's identifier
	 * @return whether the limit has been used, or there is none
	 */
	boolean used(String id) {
		Limit limit = this.limits.get(id);
		return limit == null || limit.used();
	}

	/**
	 * Discards the limits of upstreams that are no longer listed.
	 * @param listed the identifiers of the listed upstreams
	 */
	void retain(Set<String> listed) {
		this.limits.keySet().retainAll(listed);
	}

	/**
	 * The limit of one upstream.
	 *
	 * @param requestsPerSecond the limit over all entries
	 * @param lastSentNanos the time of this entry's last request to it, or a time before
	 * the limit became known
	 * @param used whether a request was sent under the limit
	 */
	private record Limit(double requestsPerSecond, long lastSentNanos, boolean used) {
	}

}
