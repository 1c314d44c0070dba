package io.bulrushrouter.kernel.store;

import java.util.Objects;

/**
 * Names one write, so that a writer whose answer was lost can read whether its write took
 * effect.
 *
 * @param value unique to one write, such as process incarnation and counter
 */
public record WriteId(String value) {

	/**
	 * Checks the mark.
	 */
	public WriteId {
		Objects.requireNonNull(value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
