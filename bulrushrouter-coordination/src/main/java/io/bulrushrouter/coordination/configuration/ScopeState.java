package io.bulrushrouter.coordination.configuration;

import java.util.Objects;

/**
 * What a node says of one scope.
 *
 * @param scope the scope, the name of one configuration object
 * @param inForce the version in force at the node; {@code 0} if none is
 * @param known the highest version the node has heard of, at least the one in force
 */
public record ScopeState(String scope, long inForce, long known) {

	/**
	 * Checks the parts.
	 */
	public ScopeState {
		Objects.requireNonNull(scope);
	}

}
