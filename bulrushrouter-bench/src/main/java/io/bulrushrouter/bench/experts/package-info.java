/**
 * The experiment on planners of expert maps.
 */
package io.bulrushrouter.bench.experts;
