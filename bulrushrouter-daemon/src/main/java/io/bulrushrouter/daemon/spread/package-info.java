/**
 * Propagates configurations between processes: performs the effects that
 * {@link io.bulrushrouter.coordination.configuration.ConfigurationNode} decides on.
 */
package io.bulrushrouter.daemon.spread;
