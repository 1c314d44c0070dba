/**
 * The command line: daemons, administration, stand-ins and the demonstration.
 */
package io.bulrushrouter.daemon.cli;
