package io.bulrushrouter.bench.platform;

/**
 * The rates at which a fleet calls the platform in one situation.
 *
 * @param name the row label in the table
 * @param listPollSeconds the interval at which a process polls the list of instances, in
 * seconds
 * @param everyProcessWatches whether every process watches the configuration instead of
 * the relays alone
 * @param duties the number of duties, each guarded by a lease
 * @param balancerRoundsPerSecond rounds per second of each duty except the evacuation
 * @param progressWritesPerSecond progress writes per second of the evacuation
 * @param operatorActionsPerSecond operator actions per second in the whole fleet, each of
 * which reads the plan and updates an object (a read and a write)
 * @param ordersPerSecond new orders to engines per second in the whole fleet, each a read
 * @param outageSeconds the platform's downtime before counting starts, in seconds
 * @param restart whether counting includes the start of all processes, which takes 10
 * seconds
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
