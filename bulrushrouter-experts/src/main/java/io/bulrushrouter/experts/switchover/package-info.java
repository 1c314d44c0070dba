/**
 * The protocol by which all ranks of a group change to a new expert map in one step. All
 * types are pure: the daemon carries the messages, calls the engine and gives the ticks.
 */
package io.bulrushrouter.experts.switchover;
