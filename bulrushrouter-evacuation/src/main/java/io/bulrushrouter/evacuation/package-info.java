/**
 * Evacuation plans, the fleet's capacity and the object that keeps what is intended.
 */
package io.bulrushrouter.evacuation;
