/**
 * The registry of plug-ins, which are identified by a kind and a name.
 */
package io.bulrushrouter.kernel.plugin;
