package io.bulrushrouter.experts.planning;

/**
 * The loads of expert weights that one plan may still use.
 */
final class LoadBudget {

	private int remaining;

	private LoadBudget(int left) {
		this.remaining = left;
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
	 * Takes loads if they are left.
	 * @param weightLoads the loads wanted
	 * @return whether they were
	 */
	boolean tryTake(int weightLoads) {
		if (weightLoads > this.remaining) {
			return false;
		}
		this.remaining -= weightLoads;
		return true;
	}

}
