/**
 * A gateway entry that forwards callers' requests over HTTP to upstreams without a
 * sidecar.
 */
package io.bulrushrouter.gateway;
