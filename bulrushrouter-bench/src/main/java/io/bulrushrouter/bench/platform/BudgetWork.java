package io.bulrushrouter.bench.platform;

/**
 * What a fleet calls the platform for in one situation.
 *
 * @param name the situation
 * @param listSeconds the time between two looks of a process at the list of instances
 * @param everyProcessWatches whether each process watches the configuration itself, and
 * not only the relays
 * @param duties how many leases are held
 * @param balancerRoundsPerSecond rounds of each duty but the evacuation's
 * @param progressPerSecond the evacuation's writes
 * @param actsPerSecond operators' acts in the whole fleet, each a read and a write
 * @param ordersPerSecond new orders to engines in the whole fleet, each a read
 * @param outageSeconds how long the platform is down before the counting starts
 * @param restart whether every process starts within the first 10 seconds
 */
record BudgetWork(String name, double listSeconds, boolean everyProcessWatches, int duties,
		double balancerRoundsPerSecond, double progressPerSecond, double actsPerSecond, double ordersPerSecond,
		int outageSeconds, boolean restart) {

	static final int ENTRIES = 400;

	static final int SIDECARS = 600;

	static BudgetWork ofRest() {
		return new BudgetWork("at rest", 5, false, 50, 0.1, 0.1, 1400.0 / 86_400, 0.01, 0, false);
	}

	BudgetWork morning() {
		return new BudgetWork("morning", this.listSeconds, this.everyProcessWatches, this.duties,
				this.balancerRoundsPerSecond, 1, 1400.0 / 3600, 600.0 / 1800, 0, false);
	}

	BudgetWork afterOutage(int seconds) {
		return new BudgetWork("after an outage of " + seconds + " s", this.listSeconds, this.everyProcessWatches,
				this.duties, this.balancerRoundsPerSecond, 1, 1400.0 / 3600, 600.0 / 1800, seconds, false);
	}

	BudgetWork restarting() {
		return new BudgetWork("all processes start in 10 s", this.listSeconds, this.everyProcessWatches, this.duties,
				this.balancerRoundsPerSecond, this.progressPerSecond, this.actsPerSecond, this.ordersPerSecond, 0,
				true);
	}

	BudgetWork withoutRelays() {
		return new BudgetWork(this.name + ", each process watches, list each second", 1, true, this.duties,
				this.balancerRoundsPerSecond, this.progressPerSecond, this.actsPerSecond, this.ordersPerSecond,
				this.outageSeconds, this.restart);
	}

	double actsPerEntrySecond() {
		return this.actsPerSecond / ENTRIES;
	}

	double ordersPerSidecarSecond() {
		return this.ordersPerSecond / SIDECARS;
	}

}
