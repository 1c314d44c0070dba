/**
 * The sidecar process: admits the requests of its upstream, runs them on it and carries
 * out evacuation orders.
 */
package io.bulrushrouter.daemon.sidecar;
