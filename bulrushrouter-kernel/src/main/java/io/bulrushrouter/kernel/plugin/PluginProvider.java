package io.bulrushrouter.kernel.plugin;

import java.util.List;

/**
 * Provides the plug-ins of a module. Implementations are registered with
 * {@link java.util.ServiceLoader}.
 */
@FunctionalInterface
public interface PluginProvider {

	/**
	 * Returns the plug-ins of the module.
	 * @return the plug-ins
	 */
	List<Plugin<?>> plugins();

}
