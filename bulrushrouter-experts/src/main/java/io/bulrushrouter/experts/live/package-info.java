/**
 * Balancing of a running rank group in which all replicas of an expert take equal shares
 * of its tokens: demand tracking, placement planning and switching between expert maps.
 * The package only makes decisions; it performs no I/O.
 */
package io.bulrushrouter.experts.live;
