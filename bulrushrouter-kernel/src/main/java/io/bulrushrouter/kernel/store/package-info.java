/**
 * The narrow interface to the platform's object API: versions, conditional writes,
 * watches and the lagging list of instances.
 */
package io.bulrushrouter.kernel.store;
