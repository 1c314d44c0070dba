/**
 * Limits and resolves calls to the platform's object API, on which leases, configuration
 * propagation and engine orders build.
 */
package io.bulrushrouter.coordination;
