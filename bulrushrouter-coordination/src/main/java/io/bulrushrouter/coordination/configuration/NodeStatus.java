package io.bulrushrouter.coordination.configuration;

import java.util.List;
import java.util.Objects;

import io.bulrushrouter.kernel.InstanceId;

/**
 * The configuration versions in force and known at one node.
 *
 * @param instance the node
 * @param ready whether it is ready to serve requests
 * @param scopes the versions of each scope
 * @param refused the scopes of which the node's checker refused a higher version than the
 * one in force
 * @param ageMillis the time since the status was received, in milliseconds
 */
public record NodeStatus(InstanceId instance, boolean ready, List<ScopeState> scopes, List<String> refused,
		long ageMillis) {

	/**
	 * Validates the components.
	 */
	public NodeStatus {
		Objects.requireNonNull(instance);
		scopes = List.copyOf(scopes);
		refused = List.copyOf(refused);
	}

	/**
	 * Returns a copy of this status with the given age.
	 * @param millis the age, in milliseconds
	 * @return the status
	 */
	public NodeStatus withAge(long millis) {
		return new NodeStatus(this.instance, this.ready, this.scopes, this.refused, millis);
	}

}
