package io.bulrushrouter.kernel.store;

import java.util.Objects;

/**
 * The key of an object in the store, such as {@code lease/relay-east-1}.
 *
 * @param value the kind and the name, separated by {@code /}
 */
public record ObjectKey(String value) {

	/**
	 * Creates a key.
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
