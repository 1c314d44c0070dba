/**
 * The evacuation duty: holds the lease of the plans and carries out their rounds through
 * the sidecars.
 */
package io.bulrushrouter.daemon.evacuation;
