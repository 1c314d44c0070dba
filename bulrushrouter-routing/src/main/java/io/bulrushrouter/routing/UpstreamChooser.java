package io.bulrushrouter.routing;

import java.util.List;
import java.util.random.RandomGenerator;

import io.bulrushrouter.kernel.UpstreamId;

/**
 * Chooses the upstream of a request. Implementations are plug-ins registered under a
 * name.
 *
 * <pre>{@code
 * List<UpstreamId> probes = chooser.probes(query, table, now, random);
 * // probe those sidecars, pass their reports to table.reported(...), then:
 * Choice choice = chooser.choose(query, table, now, random);
 * choice.upstream().ifPresent((upstream) -> table.sent(upstream, query, now));
 * }</pre>
 */
@FunctionalInterface
public interface UpstreamChooser {

	/**
	 * Chooses an upstream.
	 * @param query the request
	 * @param table the entry's state of the upstreams
	 * @param nowNanos the time, in nanoseconds
	 * @param random the random source
	 * @return the choice
	 */
	Choice choose(RouteQuery query, UpstreamTable table, long nowNanos, RandomGenerator random);

	/**
	 * Returns the upstreams whose sidecars should be probed for a fresh report before
	 * {@link #choose}. The choice does not have to wait for the answers.
	 * @param query the request
	 * @param table the entry's state of the upstreams
	 * @param nowNanos the time, in nanoseconds
	 * @param random the random source
	 * @return the upstreams, possibly none
	 */
	default List<UpstreamId> probes(RouteQuery query, UpstreamTable table, long nowNanos, RandomGenerator random) {
		return List.of();
	}

}
