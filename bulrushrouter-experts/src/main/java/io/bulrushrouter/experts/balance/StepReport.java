package io.bulrushrouter.experts.balance;

/**
 * The times of one step of a group.
 *
 * @param step the number of the step
 * @param nanosPerToken the time of each rank for its part of the step over the tokens it
 * was given, in nanoseconds; 0 where the rank's report is missing
 */
public record StepReport(long step, double[] nanosPerToken) {
}
