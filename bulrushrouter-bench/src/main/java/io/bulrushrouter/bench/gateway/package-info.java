/**
 * JMH benchmarks of what a gateway entry does for each request and each event.
 */
package io.bulrushrouter.bench.gateway;
