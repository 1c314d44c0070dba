/**
 * The entry process: callers' HTTP, the choice of upstream, retries and administration.
 */
package io.bulrushrouter.daemon.entry;
