/**
 * Assembles a gateway entry from its parts and runs it.
 */
package io.bulrushrouter.gateway.node;
