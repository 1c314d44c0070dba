package io.bulrushrouter.coordination.order;

import java.util.Objects;
import java.util.SortedSet;
import java.util.TreeSet;

import io.bulrushrouter.kernel.ModelId;

/**
 * The part of an engine's state that orders change, as ordered or as observed.
 *
 * @param models the models, adapters and versions that are loaded
 * @param role the engine's role
 */
public record EngineState(SortedSet<ModelId> models, EngineRole role) {

	/**
	 * Checks the parts.
	 */
	public EngineState {
		models = new TreeSet<>(models);
		Objects.requireNonNull(role);
	}

}
