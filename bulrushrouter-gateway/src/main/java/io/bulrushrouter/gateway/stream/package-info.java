/**
 * Splitting of streams of server-sent events into complete events.
 */
package io.bulrushrouter.gateway.stream;
