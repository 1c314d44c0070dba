package io.bulrushrouter.experts.planning;

/**
 * The loads of expert weights that one plan may still use.
 */
final class LoadBudget {

	private int left;

	private LoadBudget(int left) {
		this.left = left;
	}

	static LoadBudget of(int loads) {
		return new LoadBudget(loads);
	}

	boolean isEmpty() {
		return this.left <= 0;
	}

	int left() {
		return this.left;
	}

	/**
	 * Takes loads if they are left.
	 * @param loads the loads wanted
	 * @return whether they were
	 */
	boolean take(int loads) {
		if (loads > this.left) {
			return false;
		}
		this.left -= loads;
		return true;
	}

}
