/**
 * Load balancing over upstreams: choice of an upstream by cost, ejection of failing
 * upstreams, weighted fair queueing and rate limits of organisations.
 */
package io.bulrushrouter.routing;
