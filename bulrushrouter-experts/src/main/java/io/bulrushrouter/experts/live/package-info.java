/**
 * Balancing of a running rank group whose ranks split an expert's tokens evenly: demand,
 * placement and the switch from one map to the next. Decisions only.
 */
package io.bulrushrouter.experts.live;
