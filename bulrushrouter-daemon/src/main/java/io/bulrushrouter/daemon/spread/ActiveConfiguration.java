package io.bulrushrouter.daemon.spread;

import io.bulrushrouter.daemon.config.Configuration;

/**
 * A configuration that this process has adopted, with its version.
 *
 * @param version the configuration's version
 * @param configuration the configuration
 */
public record ActiveConfiguration(long version, Configuration configuration) {
}
