/**
 * Experiments on the latency that the request path adds to a direct call, and on its
 * token throughput.
 */
package io.bulrushrouter.bench.path;
