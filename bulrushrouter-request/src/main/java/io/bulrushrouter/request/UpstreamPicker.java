package io.bulrushrouter.request;

import java.util.Optional;
import java.util.Set;

import io.bulrushrouter.kernel.UpstreamId;

/**
 * Selects the upstream of an attempt.
 */
@FunctionalInterface
public interface UpstreamPicker {

	/**
	 * Selects an upstream.
	 * @param excluded the upstreams that earlier attempts of the request were sent to
	 * @param nowNanos the current time, in nanoseconds
	 * @return the upstream, or empty if none can accept the request now
	 */
	Optional<UpstreamId> pick(Set<UpstreamId> excluded, long nowNanos);

}
