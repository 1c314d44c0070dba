/**
 * Assembles a gateway entry from its components and runs it.
 */
package io.bulrushrouter.gateway.node;
