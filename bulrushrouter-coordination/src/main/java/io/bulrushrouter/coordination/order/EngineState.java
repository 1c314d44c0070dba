package io.bulrushrouter.coordination.order;

import java.util.Objects;
import java.util.SortedSet;
import java.util.TreeSet;

import io.bulrushrouter.kernel.ModelId;

/**
 * The part of an engine's state that orders control, either desired or observed.
 *
 * @param models the models, adapters and versions that are loaded
 * @param role the engine's role
 */
public record EngineState(SortedSet<ModelId> models, EngineRole role) {

	/**
	 * Copies the models and validates the role.
	 */
	public EngineState {
		models = new TreeSet<>(models);
		Objects.requireNonNull(role);
	}

}
