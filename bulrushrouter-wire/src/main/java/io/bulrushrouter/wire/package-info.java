/**
 * Frames between the system's own processes, and HTTP to callers and upstreams.
 */
package io.bulrushrouter.wire;
