package io.bulrushrouter.experts.planning;

/**
 * The number of expert weights that one plan may still have ranks load.
 */
final class LoadBudget {

	private int remaining;

	private LoadBudget(int weightLoads) {
		this.remaining = weightLoads;
	}

	static LoadBudget of(int weightLoads) {
		return new LoadBudget(weightLoads);
	}

	boolean isEmpty() {
		return this.remaining <= 0;
	}

	int remaining() {
		return this.remaining;
	}

	/**
	 * Takes the given number of weight loads if that many remain; otherwise takes none.
	 * @param weightLoads the number of weight loads to take
	 * @return whether they were taken
	 */
	boolean tryTake(int weightLoads) {
		if (weightLoads > this.remaining) {
			return false;
		}
		this.remaining -= weightLoads;
		return true;
	}

}
