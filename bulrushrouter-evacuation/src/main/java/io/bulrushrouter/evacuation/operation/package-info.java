/**
 * The operations on a plan that the administration API offers to operators.
 */
package io.bulrushrouter.evacuation.operation;
