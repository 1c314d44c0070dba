/**
 * Threads that own state and process messages one at a time, and the bounded queues that
 * connect them.
 */
package io.bulrushrouter.kernel.duty;
