/**
 * Streams of server-sent events, cut into whole events.
 */
package io.bulrushrouter.gateway.stream;
