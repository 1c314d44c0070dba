/**
 * Entry and sidecar daemons, and the command line that starts them.
 */
package io.bulrushrouter.daemon;
