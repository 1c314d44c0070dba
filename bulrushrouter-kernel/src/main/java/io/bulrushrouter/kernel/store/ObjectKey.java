package io.bulrushrouter.kernel.store;

import java.util.Objects;

/**
 * The name of an object, such as {@code lease/relay-east-1}.
 *
 * @param value the name, parts separated by {@code /}
 */
public record ObjectKey(String value) {

	/**
	 * Checks the name.
	 */
	public ObjectKey {
		Objects.requireNonNull(value);
	}

	/**
	 * Returns the key with the given kind and name.
	 * @param kind the kind of object, such as {@code lease}
	 * @param name the name within the kind
	 * @return the key
	 */
	public static ObjectKey of(String kind, String name) {
		return new ObjectKey(kind + "/" + name);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
