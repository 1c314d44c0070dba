package io.bulrushrouter.bench.capacity;

import java.util.ArrayList;
import java.util.List;

/**
 * What a slope comes to at the target size, beside its limit.
 *
 * @param role who spends it
 * @param what what is spent, with its unit
 * @param spent how much
 * @param limit the most that the users allow
 */
record Budget(String role, String what, double spent, double limit) {

	static final String HEAD = "| role | what | at the target | limit | met |\n|---|---|---|---|---|";

	/** Load reports a second to an entry that is interested. */
	private static final double REPORTS_PER_SECOND = 2;

	/** How long an entry is interested after it sent work, in seconds. */
	private static final double INTEREST_SECONDS = 10;

	/** Rounds of the evacuation's holder a second. */
	private static final double ROUNDS_PER_SECOND = 1;

	/**
	 * Reads of the platform in a round: three objects of one plan, and in each fifth
	 * round the list of plans.
	 */
	private static final double READS_PER_ROUND = 3.2;

	/** Sidecars that are asked for their load before a choice. */
	private static final double PROBES_PER_REQUEST = 4;

	/** Looks at the list of instances a second. */
	private static final double LIST_READS_PER_SECOND = 0.2;

	private static final double PLACEMENT_READS_PER_SECOND = 1.0 / 3;

	private static final int RELAYS_PER_DATA_CENTRE = 2;

	private static final int DUTIES = 50;

	static final int CLAIM_SHARDS = 8;

	private static final double SWITCHES_PER_SECOND = 1 / 300.0;

	private static final double POPULARITY_PER_SECOND = 1 / 15.0;

	static List<Budget> of(CountedSlopes slopes) {
		List<Budget> budgets = new ArrayList<>();
		double compressed = slopes.compressed().at(TargetSize.ORGANISATIONS);
		budgets.add(new Budget("platform", "configuration after gzip, bytes", compressed, TargetSize.PLATFORM_VALUE));
		budgets.add(control("every process", "spread at rest, B/s", slopes.restBytes().at(TargetSize.PROCESSES)));
		budgets.add(control("every process", "versions of a day after gzip, B/s of the busiest",
				versionsPerSecond(slopes, compressed)));
		budgets.add(control("entry", "load reports in, B/s", reportBytes(TargetSize.ENTRIES, TargetSize.SIDECARS)));
		budgets.add(control("entry", "probes out and answers in, B/s", probeBytes(TargetSize.ENTRIES)));
		budgets.add(control("sidecar", "load reports out, B/s", reportBytes(TargetSize.SIDECARS, TargetSize.ENTRIES)));
		budgets.add(control("sidecar", "probes in and answers out, B/s", probeBytes(TargetSize.SIDECARS)));
		budgets.add(control("evacuation's holder", "questions out and answers in, B/s",
				ROUNDS_PER_SECOND * TargetSize.SIDECARS * (CountedSlopes.OBSERVE + CountedSlopes.OBSERVED)));
		budgets.add(control("balancer of 256 ranks", "a map switch each 5 min, B/s",
				SWITCHES_PER_SECOND * slopes.switchBytes().at(TargetSize.RANKS)));
		budgets.add(control("balancer of 256 ranks", "popularity of 58 layers each 15 s, B/s",
				POPULARITY_PER_SECOND * TargetSize.RANKS * TargetSize.LAYERS * CountedSlopes.POPULARITY));
		budgets.add(control("home of one shard of claims", "2,100 claims/s over 8 shards, B/s written",
				slopes.claimBytes().at(CLAIM_SHARDS) / CLAIM_SHARDS));
		budgets.add(new Budget("platform", "reads/s", reads(slopes), TargetSize.PLATFORM_READS));
		budgets.add(new Budget("platform", "writes/s without claims", slopes.leaseWrites().at(DUTIES),
				TargetSize.PLATFORM_WRITES));
		budgets.add(new Budget("platform", "writes/s with 2,100 claims/s at homes",
				slopes.leaseWrites().at(DUTIES) + slopes.claimWrites().at(CLAIM_SHARDS), TargetSize.PLATFORM_WRITES));
		return budgets;
	}

	private static Budget control(String node, String purpose, double bytesPerSecond) {
		return new Budget(node, purpose, bytesPerSecond, TargetSize.CONTROL_BYTES_PER_SECOND);
	}

	private static double versionsPerSecond(CountedSlopes slopes, double bytes) {
		return slopes.versionBytes().at(bytes) * TargetSize.CHANGES_PER_DAY / TargetSize.SECONDS_PER_DAY;
	}

	/**
	 * Returns the load reports of a process, if requests are spread evenly.
	 * @param own processes of its own role
	 * @param others processes of the other role
	 * @return the bytes a second
	 */
	static double reportBytes(int own, int others) {
		double requests = (double) TargetSize.REQUESTS_PER_SECOND / own * INTEREST_SECONDS;
		double partners = others * (1 - Math.pow(1 - 1.0 / others, requests));
		return partners * REPORTS_PER_SECOND * CountedSlopes.LOAD_REPORT;
	}

	private static double probeBytes(int processes) {
		double requests = (double) TargetSize.REQUESTS_PER_SECOND / processes;
		return requests * PROBES_PER_REQUEST * (CountedSlopes.PROBE + CountedSlopes.PROBE_ANSWER);
	}

	private static double reads(CountedSlopes slopes) {
		double lists = TargetSize.PROCESSES * LIST_READS_PER_SECOND;
		double watches = RELAYS_PER_DATA_CENTRE * TargetSize.DATA_CENTRES;
		double placements = TargetSize.ENTRIES * PLACEMENT_READS_PER_SECOND;
		return lists + watches + placements + slopes.leaseReads().at(DUTIES) + ROUNDS_PER_SECOND * READS_PER_ROUND;
	}

	boolean held() {
		return this.spent <= this.limit;
	}

	String row() {
		return "| %s | %s | %s | %s | %s |".formatted(this.role, this.what, Fit.number(this.spent),
				Fit.number(this.limit), held() ? "yes" : "no");
	}

}
