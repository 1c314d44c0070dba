package io.bulrushrouter.daemon.spread;

import io.bulrushrouter.daemon.config.Configuration;

/**
 * A configuration that is in force.
 *
 * @param version its version
 * @param configuration what it says
 */
public record ActiveConfiguration(long version, Configuration configuration) {
}
