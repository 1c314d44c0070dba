/**
 * The reconciler, which compares the intended with the observed state of the fleet and
 * carries out the next safe steps of an evacuation.
 */
package io.bulrushrouter.evacuation.reconcile;
