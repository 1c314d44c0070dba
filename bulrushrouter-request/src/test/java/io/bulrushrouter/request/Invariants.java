package io.bulrushrouter.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.bulrushrouter.kernel.Verdict;

/**
 * The invariants of every cell, checked against the starts that the engines recorded and
 * what the callers received.
 */
final class Invariants {

	/** How long after a drain request an upstream may still start work. */
	private static final long DRAIN_GRACE_NANOS = 100 * SimulatedClock.MILLIS;

	private Invariants() {
	}

	static List<String> violations(SimulatedSystem system) {
		List<String> violations = new ArrayList<>();
		system.callers.forEach((caller) -> check(system, caller, violations));
		checkAtMostOnce(system, violations);
		checkNoStartsAfterDrain(system, violations);
		return violations;
	}

	private static void check(SimulatedSystem system, SimulatedCaller caller, List<String> violations) {
		long slackMillis = system.cell.has(FaultCell.Fault.ENTRY_PAUSED) ? 2 * SimulatedSystem.PAUSE_MILLIS : 0;
		if (caller.outcomes.size() != 1) {
			violations.add(caller.tag + " got " + caller.outcomes.size() + " final answers: " + caller.outcomes);
		}
		if (caller.endNanos > caller.deadlineNanos + slackMillis * SimulatedClock.MILLIS) {
			violations.add(caller.tag + " got its final answer after its deadline");
		}
		if (caller.complete && !caller.body.toString().equals(caller.expectedBody())) {
			violations.add(caller.tag + " got '" + caller.body + "' for '" + caller.expectedBody() + "'");
		}
		if (!caller.expectedBody().startsWith(caller.body.toString())) {
			violations.add(caller.tag + " was sent '" + caller.body + "', which is not a prefix of '"
					+ caller.expectedBody() + "'");
		}
		if (caller.verdict.filter((verdict) -> verdict instanceof Verdict.NotRun).isPresent() && ran(system, caller)) {
			violations.add(caller.tag + " was told 'not run' and ran");
		}
		if (isCutOff(system, caller)) {
			violations.add(caller.tag + " failed because of a drain: " + caller.outcomes);
		}
	}

	// With drains as the only faults, every request is answered. The exception is a
	// request without an upstream left; it must not have run.
	private static boolean isCutOff(SimulatedSystem system, SimulatedCaller caller) {
		boolean onlyDrains = system.cell.injections()
			.stream()
			.allMatch((injection) -> injection.fault() == FaultCell.Fault.DRAINED
					|| injection.fault() == FaultCell.Fault.DRAINS_RACE);
		boolean allDrained = system.drainedAtNanos.size() == SimulatedSystem.UPSTREAMS;
		boolean notRun = caller.verdict.filter((verdict) -> verdict instanceof Verdict.NotRun).isPresent();
		return onlyDrains && !caller.complete && !(allDrained && notRun);
	}

	private static boolean ran(SimulatedSystem system, SimulatedCaller caller) {
		return system.starts.stream().anyMatch((start) -> start.attempt().request().equals(caller.id.orElseThrow()));
	}

	private static void checkAtMostOnce(SimulatedSystem system, List<String> violations) {
		Map<String, Integer> runs = new HashMap<>();
		system.starts
			.forEach((start) -> start.spec().idempotencyKey().ifPresent((key) -> runs.merge(key, 1, Integer::sum)));
		runs.forEach((key, count) -> {
			if (count > 1) {
				violations.add(key + " ran " + count + " times");
			}
		});
	}

	private static void checkNoStartsAfterDrain(SimulatedSystem system, List<String> violations) {
		for (SimulatedSystem.EngineStart start : system.starts) {
			Long drained = system.drainedAtNanos.get(start.upstream());
			if (drained != null && start.nanos() > drained + DRAIN_GRACE_NANOS) {
				violations.add(start.upstream() + " was draining and started " + start.attempt());
			}
		}
	}

}
