/**
 * Two-phase commit protocol by which all ranks of a group switch to a new expert map
 * before the same step. The types do no I/O and read no clock: the caller delivers
 * messages, calls the engine and supplies ticks.
 */
package io.bulrushrouter.experts.switchover;
