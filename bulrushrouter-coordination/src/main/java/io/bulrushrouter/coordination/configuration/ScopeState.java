package io.bulrushrouter.coordination.configuration;

import java.util.Objects;

/**
 * The versions of one scope at a node.
 *
 * @param scope the scope, the name of one configuration object
 * @param inForce the version in force at the node; {@code 0} if there is none
 * @param known the highest version that the node knows to exist; at least the one in
 * force
 */
public record ScopeState(String scope, long inForce, long known) {

	/**
	 * Validates the components.
	 */
	public ScopeState {
		Objects.requireNonNull(scope);
	}

}
