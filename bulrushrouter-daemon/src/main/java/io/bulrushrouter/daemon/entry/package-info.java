/**
 * The entry process: accepts HTTP requests of callers, routes them to upstreams, retries
 * failed attempts and serves the administration API.
 */
package io.bulrushrouter.daemon.entry;
