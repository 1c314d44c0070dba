/**
 * The evacuation duty: holds the lease on evacuation plans and carries out the plans
 * through the sidecars.
 */
package io.bulrushrouter.daemon.evacuation;
