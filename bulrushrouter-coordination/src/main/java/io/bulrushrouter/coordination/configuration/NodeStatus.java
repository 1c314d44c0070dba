package io.bulrushrouter.coordination.configuration;

import java.util.List;
import java.util.Objects;

import io.bulrushrouter.kernel.InstanceId;

/**
 * The configuration in force at one node.
 *
 * @param instance the node
 * @param ready whether it serves
 * @param scopes the versions in force and known, by scope
 * @param refused the scopes whose known version the node's checker refuses
 * @param ageMillis how long ago the node said so
 */
public record NodeStatus(InstanceId instance, boolean ready, List<ScopeState> scopes, List<String> refused,
		long ageMillis) {

	/**
	 * Checks the parts.
	 */
	public NodeStatus {
		Objects.requireNonNull(instance);
		scopes = List.copyOf(scopes);
		refused = List.copyOf(refused);
	}

	/**
	 * Returns this status with another age.
	 * @param millis the age
	 * @return the status
	 */
	public NodeStatus withAge(long millis) {
		return new NodeStatus(this.instance, this.ready, this.scopes, this.refused, millis);
	}

}
