package io.bulrushrouter.gateway.upstream;

import java.util.Locale;
import java.util.concurrent.TimeUnit;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs an upstream's learned capacity when it has changed much. Not thread-safe.
 */
final class CapacityLog {

	private static final Logger logger = LoggerFactory.getLogger(CapacityLog.class);

	/** Factor of a change that is logged. */
	private static final double LOGGED_CHANGE = 1.5;

	/** Minimum time between two lines of one upstream. */
	private static final long MIN_UPSTREAM_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);

	/**
	 * Limit of the lines in a second, far above what a few slow upstreams cause. A whole
	 * service that changes logs the rest later.
	 */
	private static final int MAX_LINES_PER_SECOND = 10;

	private final LineRate lines = new LineRate(MAX_LINES_PER_SECOND);

	/**
	 * Logs the capacity of an upstream if it is due.
	 * @param id the upstream's identifier
	 * @param capacity what was learned of it
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return whether a line was logged
	 */
	boolean review(String id, UpstreamCapacity capacity, long nowNanos) {
		double slowness = capacity.slowness(nowNanos);
		double before = capacity.loggedSlowness();
		if (Math.max(slowness, before) < LOGGED_CHANGE * Math.min(slowness, before)) {
			return false;
		}
		boolean tooSoon = before != 1 && nowNanos - capacity.loggedNanos() < MIN_UPSTREAM_INTERVAL_NANOS;
		if (tooSoon || !this.lines.tryLine(nowNanos)) {
			return false;
		}
		capacity.logged(slowness, nowNanos);
		logger.info("event=upstream-capacity upstream={} service={} capacity={} before={}", id,
				capacity.upstream().service(), relative(slowness), relative(before));
		return true;
	}

	private static String relative(double slowness) {
		return String.format(Locale.ROOT, "%.2f", 1 / slowness);
	}

}
