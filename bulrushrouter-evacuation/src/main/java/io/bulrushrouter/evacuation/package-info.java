/**
 * Evacuation plans, the capacity of the fleet, and the store of the intended state.
 */
package io.bulrushrouter.evacuation;
