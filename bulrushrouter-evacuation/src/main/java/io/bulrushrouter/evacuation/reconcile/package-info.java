/**
 * The reconciler: intended against observed, and the next safe steps.
 */
package io.bulrushrouter.evacuation.reconcile;
