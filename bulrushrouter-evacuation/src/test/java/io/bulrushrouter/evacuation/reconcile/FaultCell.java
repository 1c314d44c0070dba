package io.bulrushrouter.evacuation.reconcile;

/**
 * One cell of the fault matrix.
 *
 * @param fault what happens
 * @param call the number of the first holder's call at which it happens, from 1
 * @param otherCalls how many calls the other holder makes before it dies
 * @param enginesCheck whether engines refuse old fencing numbers themselves
 */
record FaultCell(Fault fault, int call, int otherCalls, boolean enginesCheck) {

	static FaultCell ofNone(boolean enginesCheck) {
		return new FaultCell(Fault.NONE, 0, 0, enginesCheck);
	}

}
