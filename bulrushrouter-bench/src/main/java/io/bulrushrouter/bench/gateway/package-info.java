/**
 * JMH benchmarks of the work that a gateway entry does for each request and event.
 */
package io.bulrushrouter.bench.gateway;
