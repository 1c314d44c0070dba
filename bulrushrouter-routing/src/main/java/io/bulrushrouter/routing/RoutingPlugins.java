package io.bulrushrouter.routing;

import java.util.List;

import io.bulrushrouter.kernel.plugin.Plugin;
import io.bulrushrouter.kernel.plugin.PluginProvider;

/**
 * Registers the upstream choosers.
 */
public final class RoutingPlugins implements PluginProvider {

	/** Name of the recommended chooser. */
	public static final String DEFAULT_CHOOSER = "home-set";

	@Override
	public List<Plugin<?>> plugins() {
		return List.of(Plugin.of(UpstreamChooser.class, "random", Choosers.ofRandom()),
				Plugin.of(UpstreamChooser.class, "least-of-two", Choosers.ofLeastLoadedOfTwo()),
				Plugin.of(UpstreamChooser.class, "least-of-all", Choosers.ofLeastLoaded()),
				Plugin.of(UpstreamChooser.class, "prefix-affine", Choosers.ofPrefixAffine()),
				Plugin.of(UpstreamChooser.class, "combined", Choosers.ofCombinedCost()),
				Plugin.of(UpstreamChooser.class, DEFAULT_CHOOSER, HomeSetChooser.of(3, 1)));
	}

}
