package io.bulrushrouter.experts.switchover;

/**
 * An order of a sidecar to the engine of its rank. The engine applies an order as a whole
 * or leaves its state as it is, see {@link EngineState#after(EngineOrder)}.
 */
public sealed interface EngineOrder {

	/**
	 * Reads the state.
	 */
	record Read() implements EngineOrder {
	}

	/**
	 * Refuses every attempt with a lower fencing number from now on, and vows on an
	 * undecided one.
	 *
	 * @param fence the fencing number seen
	 */
	record Fence(long fence) implements EngineOrder {
	}

	/**
	 * Refuses a balancer's commit of this and every older attempt from now on, unless the
	 * switch is armed.
	 *
	 * @param attempt the attempt
	 */
	record BlockCommit(Attempt attempt) implements EngineOrder {
	}

	/**
	 * Stops before a step until the outcome is known.
	 *
	 * @param change the change whose step to stop at
	 */
	record ArmStop(MapSwitch change) implements EngineOrder {
	}

	/**
	 * Arms the switch for which the engine holds an armed stop.
	 *
	 * @param attempt the attempt
	 * @param evidence what the commit is known from
	 */
	record ArmSwitch(Attempt attempt, Evidence evidence) implements EngineOrder {
	}

	/**
	 * Removes the armed stop of an attempt that was vowed on and is aborted.
	 *
	 * @param attempt the attempt
	 */
	record Release(Attempt attempt) implements EngineOrder {
	}

	/**
	 * What a commit is known from.
	 */
	enum Evidence {

		/** The balancer's message, void after a vow. */
		BALANCER,

		/** A peer whose engine has the switch armed, valid also after a vow. */
		PEER

	}

}
