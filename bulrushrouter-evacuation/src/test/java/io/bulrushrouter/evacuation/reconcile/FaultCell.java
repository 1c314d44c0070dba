package io.bulrushrouter.evacuation.reconcile;

/**
 * One cell of the fault matrix.
 *
 * @param fault what happens
 * @param call the number of the first holder's call at which it happens, from 1
 * @param otherCalls how many calls the other holder makes before it dies
 * @param kind which engines and requests there are
 */
record FaultCell(Fault fault, int call, int otherCalls, Kind kind) {

	static FaultCell ofNoFault(Kind kind) {
		return new FaultCell(Fault.NONE, 0, 0, kind);
	}

	/**
	 * Which engines and requests there are.
	 */
	enum Kind {

		/** Engines ignore fencing numbers, requests end before the stop hour. */
		PLAIN,

		/** Engines refuse old fencing numbers. */
		ENGINES_CHECK,

		/** A request of the group runs past the stop hour. */
		LATE_REQUEST

	}

}
