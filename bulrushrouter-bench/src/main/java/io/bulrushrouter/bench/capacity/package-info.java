/**
 * Measures how messages, bytes, processor time and memory grow with size. The figures of
 * {@code docs/CAPACITY.md} are derived from these slopes.
 */
package io.bulrushrouter.bench.capacity;
