/**
 * Spreads configurations between the processes: carries out what the platform module's
 * {@link io.bulrushrouter.coordination.configuration.ConfigurationNode} decides.
 */
package io.bulrushrouter.daemon.spread;
