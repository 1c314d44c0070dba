package io.bulrushrouter.standin;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import io.bulrushrouter.experts.switchover.EngineState;
import io.bulrushrouter.experts.switchover.RankEngine;

/**
 * Simulates the engines of a rank group. Each rank starts a forward pass ("step")
 * independently, unless an armed stop holds it back. A step ends when all ranks have
 * started it, and the next one starts only then. The expert map version that each rank
 * used is recorded per step. This class is thread-safe.
 */
public final class RankGroupStandin {

	private static final long NOT_STARTED = -1;

	private final EngineState[] engines;

	private final List<Step> steps = new ArrayList<>();

	private long[] mapsOfStep;

	private RankGroupStandin(int ranks, long mapVersion) {
		this.engines = new EngineState[ranks];
		Arrays.fill(this.engines, EngineState.ofStart(1, 0, mapVersion));
		this.mapsOfStep = noneStarted();
	}

	/**
	 * Creates a group that has not run any step.
	 * @param ranks the number of ranks
	 * @param mapVersion the version of the expert map that all ranks start with
	 * @return the group
	 */
	public static RankGroupStandin of(int ranks, long mapVersion) {
		return new RankGroupStandin(ranks, mapVersion);
	}

	/**
	 * Returns the engine of a rank.
	 * @param rank the rank
	 * @return the engine, which carries out orders immediately
	 */
	public RankEngine engine(int rank) {
		return (order) -> {
			synchronized (this) {
				this.engines[rank] = this.engines[rank].after(order);
				return Optional.of(this.engines[rank]);
			}
		};
	}

	/**
	 * Starts the current step at every rank that is not stopped.
	 * @return the step if all ranks have started it, or empty while a stopped rank blocks
	 * it
	 */
	public synchronized Optional<Step> step() {
		for (int rank = 0; rank < this.engines.length; rank++) {
			if (this.mapsOfStep[rank] == NOT_STARTED && !this.engines[rank].stopped()) {
				this.engines[rank] = this.engines[rank].afterStepBegin();
				this.mapsOfStep[rank] = this.engines[rank].mapVersion();
			}
		}
		if (Arrays.stream(this.mapsOfStep).anyMatch((map) -> map == NOT_STARTED)) {
			return Optional.empty();
		}
		EngineState first = this.engines[0];
		Step step = new Step(first.incarnation(), first.nextStep() - 1,
				Arrays.stream(this.mapsOfStep).boxed().toList());
		this.steps.add(step);
		this.mapsOfStep = noneStarted();
		return Optional.of(step);
	}

	/**
	 * Restarts all ranks in a new incarnation of the group, as after the replacement of a
	 * rank.
	 * @param fence the highest known fencing token
	 * @param mapVersion the version of the expert map that all ranks start with
	 */
	public synchronized void restart(long fence, long mapVersion) {
		Arrays.fill(this.engines, EngineState.ofStart(this.engines[0].incarnation() + 1, fence, mapVersion));
		this.mapsOfStep = noneStarted();
	}

	/**
	 * Returns the completed steps.
	 * @return the steps in the order of completion
	 */
	public synchronized List<Step> steps() {
		return List.copyOf(this.steps);
	}

	private long[] noneStarted() {
		long[] maps = new long[this.engines.length];
		Arrays.fill(maps, NOT_STARTED);
		return maps;
	}

	/**
	 * A completed step.
	 *
	 * @param incarnation the incarnation of the group
	 * @param number the number of the step in the incarnation, from 0
	 * @param maps the version of the expert map that each rank used, by rank
	 */
	public record Step(long incarnation, long number, List<Long> maps) {

		/**
		 * Returns whether all ranks used the same map version.
		 * @return whether the versions are equal
		 */
		public boolean usesOneMap() {
			return this.maps.stream().distinct().count() == 1;
		}

	}

}
