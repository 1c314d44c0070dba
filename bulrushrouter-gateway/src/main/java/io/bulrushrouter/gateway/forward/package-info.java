/**
 * The way of a request over HTTP: from a caller's connection to an upstream's and back.
 * All of it runs on one event loop.
 */
package io.bulrushrouter.gateway.forward;
