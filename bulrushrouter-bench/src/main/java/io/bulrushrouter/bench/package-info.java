/**
 * Benchmarks and experiment runs.
 */
package io.bulrushrouter.bench;
