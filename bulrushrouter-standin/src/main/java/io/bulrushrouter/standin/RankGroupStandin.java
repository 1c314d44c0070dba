package io.bulrushrouter.standin;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import io.bulrushrouter.experts.switchover.EngineState;
import io.bulrushrouter.experts.switchover.RankEngine;

/**
 * The engines of a rank group. A step begins at each rank alone, unless an armed stop
 * holds it, and ends when it has begun at all ranks; only then does the next one begin.
 * The map that each rank used in each step is recorded. Thread-safe.
 */
public final class RankGroupStandin {

	private static final long NOT_BEGUN = -1;

	private final EngineState[] engines;

	private final List<Step> steps = new ArrayList<>();

	private long[] mapsOfStep;

	private RankGroupStandin(int ranks, long mapVersion) {
		this.engines = new EngineState[ranks];
		Arrays.fill(this.engines, EngineState.ofStart(1, 0, mapVersion));
		this.mapsOfStep = notBegun();
	}

	/**
	 * Returns a group that has made no step.
	 * @param ranks the number of ranks
	 * @param mapVersion the version of the map that all ranks start on
	 * @return the group
	 */
	public static RankGroupStandin of(int ranks, long mapVersion) {
		return new RankGroupStandin(ranks, mapVersion);
	}

	/**
	 * Returns the engine of a rank.
	 * @param rank the rank
	 * @return the engine, which takes orders at once
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
	 * Begins the step at every rank that may begin it.
	 * @return the step if it ended, or empty while a rank holds it up
	 */
	public synchronized Optional<Step> step() {
		for (int rank = 0; rank < this.engines.length; rank++) {
			if (this.mapsOfStep[rank] == NOT_BEGUN && !this.engines[rank].stopped()) {
				this.engines[rank] = this.engines[rank].begun();
				this.mapsOfStep[rank] = this.engines[rank].mapVersion();
			}
		}
		if (Arrays.stream(this.mapsOfStep).anyMatch((map) -> map == NOT_BEGUN)) {
			return Optional.empty();
		}
		EngineState first = this.engines[0];
		Step step = new Step(first.incarnation(), first.nextStep() - 1,
				Arrays.stream(this.mapsOfStep).boxed().toList());
		this.steps.add(step);
		this.mapsOfStep = notBegun();
		return Optional.of(step);
	}

	/**
	 * Starts all ranks in a new incarnation of the group, as when a rank was replaced.
	 * @param fence the highest fencing number known
	 * @param mapVersion the version of the map that all ranks start on
	 */
	public synchronized void restart(long fence, long mapVersion) {
		Arrays.fill(this.engines, EngineState.ofStart(this.engines[0].incarnation() + 1, fence, mapVersion));
		this.mapsOfStep = notBegun();
	}

	/**
	 * Returns the steps that have ended.
	 * @return the steps in order
	 */
	public synchronized List<Step> steps() {
		return List.copyOf(this.steps);
	}

	private long[] notBegun() {
		long[] maps = new long[this.engines.length];
		Arrays.fill(maps, NOT_BEGUN);
		return maps;
	}

	/**
	 * A step that has ended.
	 *
	 * @param incarnation the incarnation of the group
	 * @param number the number of the step in the incarnation, from 0
	 * @param maps the version of the map that each rank used
	 */
	public record Step(long incarnation, long number, List<Long> maps) {

		/**
		 * Returns whether all ranks used one map.
		 * @return whether they did
		 */
		public boolean usesOneMap() {
			return this.maps.stream().distinct().count() == 1;
		}

	}

}
