/**
 * Orders to engines: fenced by lease tokens, level-triggered, and verified by observing
 * the engine.
 */
package io.bulrushrouter.coordination.order;
