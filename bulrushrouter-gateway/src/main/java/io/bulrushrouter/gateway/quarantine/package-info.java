/**
 * Finds out which requests crash the upstreams that run them, from what all entries have
 * seen, and keeps such requests from the other upstreams.
 */
package io.bulrushrouter.gateway.quarantine;
