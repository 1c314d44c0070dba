package io.bulrushrouter.evacuation.reconcile;

/**
 * One cell of the fault matrix.
 *
 * @param fault the fault to inject
 * @param call the call of the first holder at which it is injected, counted from 1
 * @param otherCalls the number of calls that the other holder makes before it dies
 * @param kind the engines and requests of the run
 */
record FaultCell(Fault fault, int call, int otherCalls, Kind kind) {

	static FaultCell ofNoFault(Kind kind) {
		return new FaultCell(Fault.NONE, 0, 0, kind);
	}

	/**
	 * The kinds of engines and requests.
	 */
	enum Kind {

		/** Engines ignore fencing tokens, and requests end before the stop time. */
		PLAIN,

		/** Engines refuse stale fencing tokens. */
		ENGINES_CHECK,

		/** A request of the rank group runs past the stop time. */
		LATE_REQUEST

	}

}
