package io.bulrushrouter.experts.switchover;

/**
 * An order from a sidecar to the engine of its rank. The engine applies an order
 * atomically or leaves its state unchanged, see {@link EngineState#after(EngineOrder)}.
 */
public sealed interface EngineOrder {

	/**
	 * Reads the state without changing it.
	 */
	record Read() implements EngineOrder {
	}

	/**
	 * Refuses new attempts with a lower fencing token from now on, and blocks the commit
	 * of an undecided one.
	 *
	 * @param fence the fencing token seen
	 */
	record Fence(long fence) implements EngineOrder {
	}

	/**
	 * Refuses a balancer's commit of this and every older attempt from now on, unless the
	 * switch of this attempt is already armed.
	 *
	 * @param attempt the attempt
	 */
	record BlockCommit(Attempt attempt) implements EngineOrder {
	}

	/**
	 * Stops before the first step of a change until its outcome is known.
	 *
	 * @param change the change before whose step to stop
	 */
	record ArmStop(MapSwitch change) implements EngineOrder {
	}

	/**
	 * Arms the switch of an attempt for which the stop is armed, in place of the stop.
	 *
	 * @param attempt the attempt
	 * @param evidence the source from which the commit is known
	 */
	record ArmSwitch(Attempt attempt, Evidence evidence) implements EngineOrder {
	}

	/**
	 * Removes the armed stop of an aborted attempt. Refused unless the commit of the
	 * attempt is blocked.
	 *
	 * @param attempt the attempt
	 */
	record Release(Attempt attempt) implements EngineOrder {
	}

	/**
	 * The source from which a commit is known.
	 */
	enum Evidence {

		/** The balancer's commit message; refused once the commit is blocked. */
		BALANCER,

		/**
		 * A peer whose engine has the switch armed; accepted even if the commit is
		 * blocked.
		 */
		PEER

	}

}
