package io.bulrushrouter.bench.capacity;

import java.util.ArrayList;
import java.util.List;

/**
 * A resource usage that is extrapolated to the target size, with the limit it must not
 * exceed.
 *
 * @param role the process role or service that uses the resource
 * @param resource the resource, with its unit
 * @param used the usage at the target size
 * @param limit the maximum that the users allow
 */
record Budget(String role, String resource, double used, double limit) {

	static final String TABLE_HEADER = "| role | what | at the target | limit | met |\n|---|---|---|---|---|";

	/** Load reports a second that a sidecar sends to an entry in its reporting window. */
	private static final double REPORTS_PER_SECOND = 2;

	/** How long a sidecar reports its load to an entry after a request, in seconds. */
	private static final double REPORTING_WINDOW_SECONDS = 10;

	/** Rounds a second of the process that holds the evacuation lease. */
	private static final double EVACUATION_ROUNDS_PER_SECOND = 1;

	/**
	 * Platform reads in a round: three objects of one plan, and the list of plans in
	 * every fifth round.
	 */
	private static final double EVACUATION_READS_PER_ROUND = 3.2;

	/** Sidecars that an entry probes for their load before it chooses an upstream. */
	private static final double PROBES_PER_REQUEST = 4;

	/** Reads of the instance list a second by each process. */
	private static final double LIST_READS_PER_SECOND = 0.2;

	private static final double PLACEMENT_READS_PER_SECOND = 1.0 / 3;

	private static final int RELAYS_PER_DATA_CENTRE = 2;

	private static final int LEASES = 50;

	static final int CLAIM_SHARDS = 8;

	private static final double MAP_SWITCHES_PER_SECOND = 1 / 300.0;

	private static final double POPULARITY_REPORTS_PER_SECOND = 1 / 15.0;

	static List<Budget> of(CountedSlopes slopes) {
		List<Budget> budgets = new ArrayList<>();
		double compressed = slopes.compressedConfiguration().valueAt(TargetSize.ORGANISATIONS);
		budgets.add(new Budget("platform", "configuration after gzip, bytes", compressed,
				TargetSize.MAX_PLATFORM_VALUE_BYTES));
		budgets.add(ofControlTraffic("every process", "spread at rest, B/s",
				slopes.idleBytes().valueAt(TargetSize.PROCESSES)));
		budgets.add(ofControlTraffic("every process", "versions of a day after gzip, B/s of the busiest",
				versionBytesPerSecond(slopes, compressed)));
		budgets.add(ofControlTraffic("entry", "load reports in, B/s",
				reportBytesPerSecond(TargetSize.ENTRIES, TargetSize.SIDECARS)));
		budgets
			.add(ofControlTraffic("entry", "probes out and answers in, B/s", probeBytesPerSecond(TargetSize.ENTRIES)));
		budgets.add(ofControlTraffic("sidecar", "load reports out, B/s",
				reportBytesPerSecond(TargetSize.SIDECARS, TargetSize.ENTRIES)));
		budgets.add(ofControlTraffic("sidecar", "probes in and answers out, B/s",
				probeBytesPerSecond(TargetSize.SIDECARS)));
		budgets.add(ofControlTraffic("evacuation's holder", "questions out and answers in, B/s",
				EVACUATION_ROUNDS_PER_SECOND * TargetSize.SIDECARS
						* (CountedSlopes.OBSERVE_BYTES + CountedSlopes.OBSERVED_BYTES)));
		budgets.add(ofControlTraffic("balancer of 256 ranks", "a map switch each 5 min, B/s",
				MAP_SWITCHES_PER_SECOND * slopes.switchBytes().valueAt(TargetSize.RANKS)));
		budgets.add(ofControlTraffic("balancer of 256 ranks", "popularity of 58 layers each 15 s, B/s",
				POPULARITY_REPORTS_PER_SECOND * TargetSize.RANKS * TargetSize.LAYERS
						* CountedSlopes.POPULARITY_REPORT_BYTES));
		budgets.add(ofControlTraffic("home of one shard of claims", "2,100 claims/s over 8 shards, B/s written",
				slopes.claimBytes().valueAt(CLAIM_SHARDS) / CLAIM_SHARDS));
		budgets.add(new Budget("platform", "reads/s", platformReadsPerSecond(slopes),
				TargetSize.MAX_PLATFORM_READS_PER_SECOND));
		budgets.add(new Budget("platform", "writes/s without claims", slopes.leaseWrites().valueAt(LEASES),
				TargetSize.MAX_PLATFORM_WRITES_PER_SECOND));
		budgets.add(new Budget("platform", "writes/s with 2,100 claims/s at homes",
				slopes.leaseWrites().valueAt(LEASES) + slopes.claimWrites().valueAt(CLAIM_SHARDS),
				TargetSize.MAX_PLATFORM_WRITES_PER_SECOND));
		return budgets;
	}

	private static Budget ofControlTraffic(String process, String traffic, double bytesPerSecond) {
		return new Budget(process, traffic, bytesPerSecond, TargetSize.MAX_CONTROL_BYTES_PER_SECOND);
	}

	private static double versionBytesPerSecond(CountedSlopes slopes, double bytes) {
		return slopes.versionBytes().valueAt(bytes) * TargetSize.CHANGES_PER_DAY / TargetSize.SECONDS_PER_DAY;
	}

	/**
	 * Returns the load report traffic of a process under evenly spread requests.
	 * @param ownProcesses the number of processes of the process's own role
	 * @param otherProcesses the number of processes of the other role
	 * @return the traffic in bytes a second
	 */
	static double reportBytesPerSecond(int ownProcesses, int otherProcesses) {
		double requests = (double) TargetSize.REQUESTS_PER_SECOND / ownProcesses * REPORTING_WINDOW_SECONDS;
		double activePeers = otherProcesses * (1 - Math.pow(1 - 1.0 / otherProcesses, requests));
		return activePeers * REPORTS_PER_SECOND * CountedSlopes.LOAD_REPORT_BYTES;
	}

	private static double probeBytesPerSecond(int processes) {
		double requests = (double) TargetSize.REQUESTS_PER_SECOND / processes;
		return requests * PROBES_PER_REQUEST * (CountedSlopes.PROBE_BYTES + CountedSlopes.PROBE_ANSWER_BYTES);
	}

	private static double platformReadsPerSecond(CountedSlopes slopes) {
		double lists = TargetSize.PROCESSES * LIST_READS_PER_SECOND;
		double watches = RELAYS_PER_DATA_CENTRE * TargetSize.DATA_CENTRES;
		double placements = TargetSize.ENTRIES * PLACEMENT_READS_PER_SECOND;
		return lists + watches + placements + slopes.leaseReads().valueAt(LEASES)
				+ EVACUATION_ROUNDS_PER_SECOND * EVACUATION_READS_PER_ROUND;
	}

	boolean isWithinLimit() {
		return this.used <= this.limit;
	}

	String row() {
		return "| %s | %s | %s | %s | %s |".formatted(this.role, this.resource, LinearFit.number(this.used),
				LinearFit.number(this.limit), isWithinLimit() ? "yes" : "no");
	}

}
