package io.bulrushrouter.kernel.store;

import java.util.Objects;

/**
 * Identifies a write. The store keeps it with the object, so that a writer which lost the
 * response can read the object back and decide whether its write took effect.
 *
 * @param value a value unique to the write, such as an incarnation and a counter
 */
public record WriteId(String value) {

	/**
	 * Creates an identifier.
	 */
	public WriteId {
		Objects.requireNonNull(value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
