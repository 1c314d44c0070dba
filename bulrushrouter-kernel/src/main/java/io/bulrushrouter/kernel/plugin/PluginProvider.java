package io.bulrushrouter.kernel.plugin;

import java.util.List;

/**
 * What a module registers with {@link java.util.ServiceLoader}: its plug-ins.
 */
@FunctionalInterface
public interface PluginProvider {

	/**
	 * Returns the plug-ins of a module.
	 * @return the plug-ins
	 */
	List<Plugin<?>> plugins();

}
