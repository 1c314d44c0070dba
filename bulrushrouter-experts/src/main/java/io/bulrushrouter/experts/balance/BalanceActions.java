package io.bulrushrouter.experts.balance;

import java.util.List;
import java.util.Optional;

import io.bulrushrouter.experts.planning.ExpertPlan;
import io.bulrushrouter.experts.switchover.BalancerOutput;

/**
 * The actions that {@link GroupBalancer} requests after a tick.
 *
 * @param outputs the messages to send and the outcomes to store on the platform
 * @param plan the plan that was created, if any, for the log
 * @param replacements the ranks whose replacement is to be requested
 */
public record BalanceActions(List<BalancerOutput> outputs, Optional<ExpertPlan> plan, List<Integer> replacements) {
}
