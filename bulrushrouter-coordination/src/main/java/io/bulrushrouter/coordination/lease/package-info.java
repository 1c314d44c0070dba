/**
 * Leases with fencing numbers, and the placing of duties on instances.
 */
package io.bulrushrouter.coordination.lease;
