/**
 * The interface to the platform's object API: versions, conditional writes, watches and
 * the eventually consistent list of instances.
 */
package io.bulrushrouter.kernel.store;
