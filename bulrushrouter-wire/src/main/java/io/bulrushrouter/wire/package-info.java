/**
 * The protocol between the processes of the system: MessagePack over TCP, with a length
 * prefix of four bytes for each frame.
 */
package io.bulrushrouter.wire;
