package io.bulrushrouter.kernel.plugin;

/**
 * A named implementation of a policy or an adapter, found by
 * {@link java.util.ServiceLoader}.
 *
 * @param <T> the kind, usually a functional interface or a factory of it
 */
public interface Plugin<T> {

	/**
	 * Returns the interface that the plug-in implements.
	 * @return the kind
	 */
	Class<T> kind();

	/**
	 * Returns the name that a setting picks it by.
	 * @return the name, unique within its kind
	 */
	String name();

	/**
	 * Returns the implementation.
	 * @return the implementation
	 */
	T implementation();

	/**
	 * Returns a plug-in of the given parts.
	 * @param kind the interface
	 * @param name the name, unique within its kind
	 * @param implementation the implementation
	 * @param <T> the kind
	 * @return the plug-in
	 */
	static <T> Plugin<T> of(Class<T> kind, String name, T implementation) {
		return new Named<>(kind, name, implementation);
	}

	/**
	 * A plug-in of given parts.
	 *
	 * @param kind the interface
	 * @param name the name
	 * @param implementation the implementation
	 * @param <T> the kind
	 */
	record Named<T>(Class<T> kind, String name, T implementation) implements Plugin<T> {
	}

}
