/**
 * An entry before upstreams that have no sidecar and are reached over HTTP.
 */
package io.bulrushrouter.gateway;
