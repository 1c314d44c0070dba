/**
 * Orders to engines: fenced, level-triggered and read back.
 */
package io.bulrushrouter.coordination.order;
