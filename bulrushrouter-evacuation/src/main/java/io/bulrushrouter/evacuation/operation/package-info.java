/**
 * Operators' acts on a plan, as the administration API offers them.
 */
package io.bulrushrouter.evacuation.operation;
