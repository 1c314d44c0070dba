/**
 * The entries that are alive, and what each of them may take of a quantity that all
 * entries share.
 */
package io.bulrushrouter.gateway.membership;
