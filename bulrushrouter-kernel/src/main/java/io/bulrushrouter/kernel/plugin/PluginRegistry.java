package io.bulrushrouter.kernel.plugin;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.ServiceLoader;

import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;

/**
 * Looks up plug-ins by kind and name.
 */
public final class PluginRegistry {

	private final List<Plugin<?>> plugins;

	private PluginRegistry(List<Plugin<?>> plugins) {
		this.plugins = List.copyOf(plugins);
	}

	/**
	 * Returns a registry of all plug-ins on the class path.
	 * @return the registry
	 */
	public static PluginRegistry ofClassPath() {
		List<Plugin<?>> found = new ArrayList<>();
		ServiceLoader.load(PluginProvider.class).forEach((provider) -> found.addAll(provider.plugins()));
		return new PluginRegistry(found);
	}

	/**
	 * Returns a registry of the given plug-ins.
	 * @param plugins the plug-ins
	 * @return the registry
	 */
	public static PluginRegistry of(List<Plugin<?>> plugins) {
		return new PluginRegistry(plugins);
	}

	/**
	 * Returns the implementation registered for a kind and a name.
	 * @param kind the interface of the plug-in
	 * @param name the name of the plug-in
	 * @param <T> the type of the implementation
	 * @return the implementation; empty if no plug-in is registered under the name
	 */
	public <T> Optional<T> find(Class<T> kind, String name) {
		return this.plugins.stream()
			.filter((plugin) -> plugin.kind().equals(kind) && plugin.name().equals(name))
			.findFirst()
			.map((plugin) -> kind.cast(plugin.implementation()));
	}

	/**
	 * Returns the names registered for a kind.
	 * @param kind the interface of the plug-in
	 * @return the names, sorted
	 */
	public List<String> names(Class<?> kind) {
		return this.plugins.stream().filter((plugin) -> plugin.kind().equals(kind)).map(Plugin::name).sorted().toList();
	}

	/**
	 * Returns the implementation registered for a kind and a name, or fails.
	 * @param kind the interface of the plug-in
	 * @param name the name of the plug-in
	 * @param <T> the type of the implementation
	 * @return the implementation
	 * @throws BulrushException with {@link ErrorCode#PLUGIN_MISSING} if no plug-in is
	 * registered under the name
	 */
	public <T> T require(Class<T> kind, String name) {
		return find(kind, name).orElseThrow(() -> new BulrushException(ErrorCode.PLUGIN_MISSING,
				"no " + kind.getSimpleName() + " named '" + name + "'; available: " + names(kind)));
	}

}
