/**
 * Who may be tried again: decisions without input or output.
 */
package io.bulrushrouter.gateway.admission;
