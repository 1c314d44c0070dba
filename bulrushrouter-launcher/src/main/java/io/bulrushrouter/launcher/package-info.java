/**
 * The executable of gateways and rank sidecars: command line, signals and logging.
 */
package io.bulrushrouter.launcher;
