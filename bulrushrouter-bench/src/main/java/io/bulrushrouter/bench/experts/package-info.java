/**
 * Compares expert map planners on simulated expert popularity.
 */
package io.bulrushrouter.bench.experts;
