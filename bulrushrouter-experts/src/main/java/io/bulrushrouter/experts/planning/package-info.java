/**
 * Planners of expert maps: from popularity, rank speeds and the map in use to the map to
 * change to.
 */
package io.bulrushrouter.experts.planning;
