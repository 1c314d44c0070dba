package io.bulrushrouter.bench.platform;

/**
 * What a fleet calls the platform for in one situation.
 *
 * @param name the situation
 * @param listPollSeconds the time between two looks of a process at the list of instances
 * @param everyProcessWatches whether each process watches the configuration itself, and
 * not only the relays
 * @param duties how many leases are held
 * @param balancerRoundsPerSecond rounds of each duty but the evacuation's
 * @param progressWritesPerSecond the evacuation's writes
 * @param operatorActionsPerSecond operators' acts in the whole fleet, each a read and a
 * write
 * @param ordersPerSecond new orders to engines in the whole fleet, each a read
 * @param outageSeconds how long the platform is down before the counting starts
 * @param restart whether every process starts within the first 10 seconds
 */
record BudgetScenario(String name, double listPollSeconds, boolean everyProcessWatches, int duties,
		double balancerRoundsPerSecond, double progressWritesPerSecond, double operatorActionsPerSecond,
		double ordersPerSecond, int outageSeconds, boolean restart) {

	static final int ENTRIES = 400;

	static final int SIDECARS = 600;

	static BudgetScenario ofIdle() {
		return new BudgetScenario("at rest", 5, false, 50, 0.1, 0.1, 1400.0 / 86_400, 0.01, 0, false);
	}

	BudgetScenario morning() {
		return new BudgetScenario("morning", this.listPollSeconds, this.everyProcessWatches, this.duties,
				this.balancerRoundsPerSecond, 1, 1400.0 / 3600, 600.0 / 1800, 0, false);
	}

	BudgetScenario afterOutage(int seconds) {
		return new BudgetScenario("after an outage of " + seconds + " s", this.listPollSeconds,
				this.everyProcessWatches, this.duties, this.balancerRoundsPerSecond, 1, 1400.0 / 3600, 600.0 / 1800,
				seconds, false);
	}

	BudgetScenario restarting() {
		return new BudgetScenario("all processes start in 10 s", this.listPollSeconds, this.everyProcessWatches,
				this.duties, this.balancerRoundsPerSecond, this.progressWritesPerSecond, this.operatorActionsPerSecond,
				this.ordersPerSecond, 0, true);
	}

	BudgetScenario withoutRelays() {
		return new BudgetScenario(this.name + ", each process watches, list each second", 1, true, this.duties,
				this.balancerRoundsPerSecond, this.progressWritesPerSecond, this.operatorActionsPerSecond,
				this.ordersPerSecond, this.outageSeconds, this.restart);
	}

	double operatorActionsPerEntrySecond() {
		return this.operatorActionsPerSecond / ENTRIES;
	}

	double ordersPerSidecarSecond() {
		return this.ordersPerSecond / SIDECARS;
	}

}
