package io.bulrushrouter.evacuation;

import java.util.Objects;

import io.bulrushrouter.kernel.store.Write;

/**
 * An object as it was read.
 *
 * @param version the store's version; {@link Write#ABSENT} if there was none
 * @param value the content
 * @param <T> the content's type
 */
public record VersionedValue<T>(long version, T value) {

	/**
	 * Checks the parts.
	 */
	public VersionedValue {
		Objects.requireNonNull(value);
	}

}
