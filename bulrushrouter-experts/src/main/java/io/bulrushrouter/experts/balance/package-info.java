/**
 * The balancing duty of one rank group: popularity and step times in, plans and map
 * switches out.
 */
package io.bulrushrouter.experts.balance;
