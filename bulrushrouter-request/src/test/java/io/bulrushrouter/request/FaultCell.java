package io.bulrushrouter.request;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * One cell of the fault matrix: a simulation with given faults.
 *
 * @param kind the kind of the watched request
 * @param seed the seed of the choice of upstreams
 * @param injections the faults and the steps at which they are injected
 */
record FaultCell(Kind kind, long seed, List<Injection> injections) {

	static FaultCell parse(String line) {
		String[] words = line.trim().split(" ");
		List<Injection> injections = new ArrayList<>();
		for (int i = 2; i < words.length; i++) {
			String[] parts = words[i].split(":");
			injections.add(new Injection(Step.valueOf(parts[0]), Fault.valueOf(parts[1])));
		}
		return new FaultCell(Kind.valueOf(words[0]), Long.parseLong(words[1]), injections);
	}

	boolean has(Fault... faults) {
		return this.injections.stream().anyMatch((injection) -> List.of(faults).contains(injection.fault()));
	}

	@Override
	public String toString() {
		return this.kind + " " + this.seed + " "
				+ this.injections.stream().map(Injection::toString).collect(Collectors.joining(" "));
	}

	/**
	 * The kind of the watched request.
	 */
	enum Kind {

		READ, HEDGED_READ, RESUMED_STREAM, RERUN_STREAM, RESERVATION

	}

	/**
	 * A step of the watched request or its claim.
	 */
	enum Step {

		ADMITTED, CALL_SENT, CALL_ARRIVED, CLAIM_ASKED, CLAIM_WRITTEN, ENGINE_TOLD, ENGINE_RUNS, HEAD_SENT, DATA_SENT,
		END_SENT, CANCEL_SENT, REFUSAL_SENT

	}

	/**
	 * A fault to inject.
	 */
	enum Fault {

		MESSAGE_LOST, MESSAGE_LATE, MESSAGE_VERY_LATE, MESSAGE_DUPLICATED, MESSAGE_REORDERED, CONNECTION_LOST,
		ENTRY_DIES, ENTRY_PAUSED, SIDECAR_DIES, SIDECAR_PAUSED, ENGINE_DIES, RANK_STALLED, STORE_DOWN, STORE_SLOW,
		STORE_ANSWER_LOST, STORE_REQUEST_LOST, STORE_WRITE_LATE, HOME_DIES, HOME_PAUSED, DRAINED, DRAINS_RACE,
		CALLER_GONE, CALLER_REPEATS

	}

	/**
	 * A fault that is injected at a step.
	 *
	 * @param step the step; the fault is injected when it is first reached
	 * @param fault the fault
	 */
	record Injection(Step step, Fault fault) {

		@Override
		public String toString() {
			return this.step + ":" + this.fault;
		}

	}

}
