/**
 * Expert popularity, expert maps and their planning, and stragglers of rank groups.
 */
package io.bulrushrouter.experts;
