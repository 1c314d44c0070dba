package io.bulrushrouter.evacuation;

import java.util.Objects;

import io.bulrushrouter.kernel.store.Write;

/**
 * A stored object with its version.
 *
 * @param version the version in the store; {@link Write#ABSENT} if the object did not
 * exist
 * @param value the content
 * @param <T> the type of the content
 */
public record VersionedValue<T>(long version, T value) {

	/**
	 * Rejects null components.
	 */
	public VersionedValue {
		Objects.requireNonNull(value);
	}

}
