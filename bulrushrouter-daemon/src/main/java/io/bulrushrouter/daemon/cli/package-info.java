/**
 * The command line.
 */
package io.bulrushrouter.daemon.cli;
