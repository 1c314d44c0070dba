/**
 * Duties, each a thread of its own, and the bounded rings that join them.
 */
package io.bulrushrouter.kernel.duty;
