/**
 * Experiments that simulate or measure the balancer and print Markdown tables.
 */
package io.bulrushrouter.bench;
