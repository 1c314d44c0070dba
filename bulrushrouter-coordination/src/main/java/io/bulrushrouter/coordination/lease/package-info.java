/**
 * Leases with fencing tokens, and the assignment of duties to instances.
 */
package io.bulrushrouter.coordination.lease;
