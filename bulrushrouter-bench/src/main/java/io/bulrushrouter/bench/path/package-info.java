/**
 * What the system adds to a direct call, and how many tokens pass through it.
 */
package io.bulrushrouter.bench.path;
