/**
 * Slopes of messages, bytes, processor time and memory over sizes, from which
 * {@code docs/CAPACITY.md} is worked out.
 */
package io.bulrushrouter.bench.capacity;
