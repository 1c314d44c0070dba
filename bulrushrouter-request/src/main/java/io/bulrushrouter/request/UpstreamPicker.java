package io.bulrushrouter.request;

import java.util.Optional;
import java.util.Set;

import io.bulrushrouter.kernel.UpstreamId;

/**
 * Chooses the upstream of an attempt.
 */
@FunctionalInterface
public interface UpstreamPicker {

	/**
	 * Chooses an upstream.
	 * @param excluded the upstreams that earlier attempts of the request went to
	 * @param nowNanos the time
	 * @return the upstream, or empty if none can take the request now
	 */
	Optional<UpstreamId> pick(Set<UpstreamId> excluded, long nowNanos);

}
