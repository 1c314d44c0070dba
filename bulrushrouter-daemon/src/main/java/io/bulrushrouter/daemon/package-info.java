/**
 * The daemons and the command line.
 */
package io.bulrushrouter.daemon;
