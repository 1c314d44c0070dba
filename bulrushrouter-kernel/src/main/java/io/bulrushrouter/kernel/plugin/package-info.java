/**
 * The registry in which plug-ins announce themselves under a kind and a name.
 */
package io.bulrushrouter.kernel.plugin;
