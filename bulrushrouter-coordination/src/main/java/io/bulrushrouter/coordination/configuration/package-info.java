/**
 * Spreads accepted configurations from the platform to every node, so that no node goes
 * back to an older one.
 */
package io.bulrushrouter.coordination.configuration;
