package io.bulrushrouter.kernel.plugin;

/**
 * A named implementation of a policy or an adapter, found by
 * {@link java.util.ServiceLoader}.
 *
 * @param <T> the type of the implementation, usually a functional interface or a factory
 */
public interface Plugin<T> {

	/**
	 * Returns the interface that the plug-in implements.
	 * @return the interface
	 */
	Class<T> kind();

	/**
	 * Returns the name by which settings select the plug-in.
	 * @return the name, unique within its kind
	 */
	String name();

	/**
	 * Returns the implementation.
	 * @return the implementation
	 */
	T implementation();

	/**
	 * Returns a plug-in with the given kind, name and implementation.
	 * @param kind the interface
	 * @param name the name, unique within its kind
	 * @param implementation the implementation
	 * @param <T> the type of the implementation
	 * @return the plug-in
	 */
	static <T> Plugin<T> of(Class<T> kind, String name, T implementation) {
		return new Named<>(kind, name, implementation);
	}

	/**
	 * The default implementation of {@link Plugin}.
	 *
	 * @param kind the interface
	 * @param name the name
	 * @param implementation the implementation
	 * @param <T> the type of the implementation
	 */
	record Named<T>(Class<T> kind, String name, T implementation) implements Plugin<T> {
	}

}
