/**
 * Frames between the system's own processes: MessagePack over TCP, each frame led by its
 * length in four bytes.
 */
package io.bulrushrouter.wire;
