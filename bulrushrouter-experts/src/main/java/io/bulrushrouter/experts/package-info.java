/**
 * Expert popularity, expert-map planning, the map switch and stragglers.
 */
package io.bulrushrouter.experts;
