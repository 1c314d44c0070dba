/**
 * Choice of upstream, fair queueing, limits and ejection.
 */
package io.bulrushrouter.routing;
