/**
 * Spreads configurations between the processes: carries out what the platform module's
 * {@link io.bulrushrouter.platform.configuration.ConfigurationNode} decides.
 */
package io.bulrushrouter.daemon.spread;
