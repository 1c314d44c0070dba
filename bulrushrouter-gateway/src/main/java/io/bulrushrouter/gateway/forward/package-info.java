/**
 * Forwarding of HTTP requests: from a caller's connection to an upstream and the response
 * back to the caller. All of it runs on one event loop.
 */
package io.bulrushrouter.gateway.forward;
