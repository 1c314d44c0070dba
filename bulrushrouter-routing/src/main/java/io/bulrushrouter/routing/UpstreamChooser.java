package io.bulrushrouter.routing;

import java.util.List;
import java.util.random.RandomGenerator;

import io.bulrushrouter.kernel.UpstreamId;

/**
 * A way of choosing the upstream of a request. Plug-ins register themselves under a name.
 *
 * <pre>{@code
 * List<UpstreamId> probes = chooser.probes(query, table, now, random);
 * // ask those sidecars, pass their answers to table.reported(...), then:
 * Choice choice = chooser.choose(query, table, now, random);
 * choice.upstream().ifPresent((upstream) -> table.sent(upstream, query, now));
 * }</pre>
 */
@FunctionalInterface
public interface UpstreamChooser {

	/**
	 * Chooses an upstream.
	 * @param query the request
	 * @param table what this entry knows of the upstreams
	 * @param nowNanos the time, in nanoseconds
	 * @param random the random source
	 * @return the choice
	 */
	Choice choose(RouteQuery query, UpstreamTable table, long nowNanos, RandomGenerator random);

	/**
	 * Names the upstreams whose sidecars should be asked for a fresh report before
	 * {@link #choose}. The choice may go ahead without the answers.
	 * @param query the request
	 * @param table what this entry knows of the upstreams
	 * @param nowNanos the time, in nanoseconds
	 * @param random the random source
	 * @return the upstreams, possibly none
	 */
	default List<UpstreamId> probes(RouteQuery query, UpstreamTable table, long nowNanos, RandomGenerator random) {
		return List.of();
	}

}
