package io.bulrushrouter.experts.balance;

/**
 * The compute times of all ranks in one step of a group.
 *
 * @param step the number of the step
 * @param nanosPerToken the compute time of each rank in the step divided by its number of
 * tokens, in nanoseconds; 0 where the rank's report is missing
 */
public record StepReport(long step, double[] nanosPerToken) {
}
