/**
 * A model of a group of ranks whose demand for experts turns, and a comparison of rules
 * for its maps.
 */
package io.bulrushrouter.bench.groupmaps;
