/**
 * The thin daemon of a gateway entry: command line, signals, log.
 */
package io.bulrushrouter.launcher;
