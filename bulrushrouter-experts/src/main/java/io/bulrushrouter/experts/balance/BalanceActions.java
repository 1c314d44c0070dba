package io.bulrushrouter.experts.balance;

import java.util.List;
import java.util.Optional;

import io.bulrushrouter.experts.planning.ExpertPlan;
import io.bulrushrouter.experts.switchover.BalancerOutput;

/**
 * What {@link GroupBalancer} wants done after a tick.
 *
 * @param outputs the messages to send and the outcomes to write to the platform
 * @param plan the plan that was made, for the log
 * @param replacements the ranks whose replacement is to be asked for
 */
public record BalanceActions(List<BalancerOutput> outputs, Optional<ExpertPlan> plan, List<Integer> replacements) {
}
