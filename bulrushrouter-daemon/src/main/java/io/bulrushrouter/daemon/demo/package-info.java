/**
 * The demonstration: a whole fleet in one process, on loopback.
 */
package io.bulrushrouter.daemon.demo;
