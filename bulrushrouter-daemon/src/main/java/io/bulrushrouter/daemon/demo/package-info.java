/**
 * The demonstration: a complete fleet in one process, on the loopback address.
 */
package io.bulrushrouter.daemon.demo;
