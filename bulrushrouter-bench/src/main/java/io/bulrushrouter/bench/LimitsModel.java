package io.bulrushrouter.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.routing.Admission;
import io.bulrushrouter.routing.Limit;
import io.bulrushrouter.routing.OrganisationLimits;
import io.bulrushrouter.routing.QuotaAllocator;
import io.bulrushrouter.routing.QuotaGrant;
import io.bulrushrouter.routing.QuotaRequest;

/**
 * One limit over many entries and its two holders, with lost messages, an entry that dies
 * with its share and a holder that dies. The limits are the product's own.
 */
final class LimitsModel {

	static final double TOKENS_PER_SECOND = 50_000;

	private static final Limit LIMIT = new Limit(TOKENS_PER_SECOND);

	private static final int REQUEST_TOKENS = 1000;

	private static final double ONE_WAY_MILLIS = 0.5;

	private static final double TICK_MILLIS = 50;

	/** Part of messages between entries and holders that are lost. */
	private static final double LOSS = 0.001;

	/** How long a request may wait for a share, in nanoseconds. */
	private static final long PATIENCE_NANOS = 1_000_000_000L;

	/** Time until a dead holder is replaced, in milliseconds. */
	private static final double REPLACE_MILLIS = 15_000;

	/** Holders start with empty buckets; requests until then are not counted. */
	private static final long WARM_UP_NANOS = 5_000_000_000L;

	private static final OrganisationId ORGANISATION = OrganisationId.of("o");

	private static final ModelId MODEL = ModelId.of("m");

	private final Schedule schedule = new Schedule();

	private final SplittableRandom random;

	private final Demand demand;

	private final List<OrganisationLimits> entries = new ArrayList<>();

	private final List<List<Waiting>> waiting = new ArrayList<>();

	private final QuotaAllocator[] holders = new QuotaAllocator[QuotaAllocator.ALLOCATORS_PER_LIMIT];

	private final double[] admitted;

	private long requests;

	private long refused;

	private long asks;

	private long fence = 1;

	private LimitsModel(Demand demand, long seed) {
		this.demand = demand;
		this.random = new SplittableRandom(seed);
		this.admitted = new double[(int) demand.seconds() + 2];
		for (int i = 0; i < demand.entries(); i++) {
			this.entries.add(OrganisationLimits.of((organisation, model) -> Optional.of(LIMIT), demand.entries(), i));
			this.waiting.add(new ArrayList<>());
		}
		for (int i = 0; i < this.holders.length; i++) {
			replace(i);
		}
	}

	static Result run(Demand demand, long seed) {
		LimitsModel model = new LimitsModel(demand, seed);
		return model.run();
	}

	private Result run() {
		this.schedule.after(0, this::arrive);
		this.schedule.after(TICK_MILLIS, this::tick);
		if (this.demand.fault() == Fault.HOLDER) {
			this.schedule.after(this.demand.seconds() * 400, () -> dies(0));
		}
		if (this.demand.fault() == Fault.ENTRY) {
			this.schedule.after(this.demand.seconds() * 400, this::entryDies);
		}
		this.schedule.run((long) (this.demand.seconds() * 1e9));
		return new Result(this.admitted, this.requests, this.refused, this.asks);
	}

	private void replace(int holder) {
		this.fence++;
		this.holders[holder] = QuotaAllocator.of((organisation, model) -> Optional.of(LIMIT), this.fence,
				this.schedule.now());
	}

	private void dies(int holder) {
		this.holders[holder] = null;
		this.schedule.after(REPLACE_MILLIS, () -> replace(holder));
	}

	private void entryDies() {
		int entries = this.demand.entries();
		this.entries.set(0, OrganisationLimits.of((organisation, model) -> Optional.of(LIMIT), entries, 0));
		this.waiting.get(0).clear();
	}

	private void arrive() {
		double rate = this.demand.load() * TOKENS_PER_SECOND / REQUEST_TOKENS;
		this.schedule.after(-Math.log(1 - this.random.nextDouble()) / rate * 1000, this::arrive);
		boolean hot = this.random.nextDouble() < this.demand.skew();
		int entry = this.random.nextInt(hot ? Math.min(3, this.demand.entries()) : this.demand.entries());
		this.requests += isCounted() ? 1 : 0;
		int tokens = (int) (REQUEST_TOKENS * (0.5 + this.random.nextDouble()));
		admit(entry, new Waiting(tokens, this.schedule.now() + PATIENCE_NANOS));
		sendAsks(entry);
	}

	private void admit(int entry, Waiting request) {
		Admission admission = this.entries.get(entry).admit(ORGANISATION, MODEL, request.tokens(), this.schedule.now());
		if (admission instanceof Admission.Admitted) {
			this.admitted[(int) (this.schedule.now() / 1_000_000_000L)] += request.tokens();
		}
		else if (admission instanceof Admission.Pending && this.schedule.now() < request.untilNanos()) {
			this.waiting.get(entry).add(request);
		}
		else {
			this.refused += isCounted() ? 1 : 0;
		}
	}

	private boolean isCounted() {
		return this.schedule.now() > WARM_UP_NANOS;
	}

	private void tick() {
		this.schedule.after(TICK_MILLIS, this::tick);
		for (int i = 0; i < this.entries.size(); i++) {
			sendAsks(i);
			retry(i);
		}
	}

	private void retry(int entry) {
		List<Waiting> before = new ArrayList<>(this.waiting.get(entry));
		this.waiting.get(entry).clear();
		before.forEach((request) -> admit(entry, request));
	}

	private void sendAsks(int entry) {
		for (QuotaRequest ask : this.entries.get(entry).quotaRequests(this.schedule.now())) {
			this.asks++;
			if (this.random.nextDouble() >= LOSS) {
				this.schedule.after(ONE_WAY_MILLIS, () -> lend(entry, ask));
			}
		}
	}

	private void lend(int entry, QuotaRequest ask) {
		QuotaAllocator holder = this.holders[ask.allocator()];
		if (holder == null || this.random.nextDouble() < LOSS) {
			return;
		}
		QuotaGrant grant = holder.allocate(ask, this.schedule.now());
		this.schedule.after(ONE_WAY_MILLIS, () -> {
			this.entries.get(entry).granted(grant, this.schedule.now());
			retry(entry);
			sendAsks(entry);
		});
	}

	/**
	 * What is asked for.
	 *
	 * @param name its name in the table
	 * @param entries how many entries there are
	 * @param load tokens asked for, relative to the limit
	 * @param skew the part of requests that come to three entries
	 * @param seconds simulated time
	 * @param fault what dies
	 */
	record Demand(String name, int entries, double load, double skew, double seconds, Fault fault) {
	}

	/**
	 * What dies.
	 */
	enum Fault {

		/** Nothing. */
		NONE,

		/** An entry, with its share. */
		ENTRY,

		/** One of the two holders; it is replaced 15 s later. */
		HOLDER

	}

	/**
	 * What a run gave.
	 *
	 * @param admittedTokens tokens admitted by second
	 * @param requests requests
	 * @param refused requests refused
	 * @param asks messages to holders
	 */
	record Result(double[] admittedTokens, long requests, long refused, long asks) {

		double largestOverLimit(int windowSeconds) {
			double largest = 0;
			double sum = 0;
			for (int i = 0; i < this.admittedTokens.length; i++) {
				sum += this.admittedTokens[i] - ((i >= windowSeconds) ? this.admittedTokens[i - windowSeconds] : 0);
				largest = Math.max(largest, sum / windowSeconds / TOKENS_PER_SECOND);
			}
			return largest;
		}

	}

	/**
	 * A request that waits for a share.
	 *
	 * @param tokens what it takes
	 * @param untilNanos when it is refused
	 */
	private record Waiting(int tokens, long untilNanos) {
	}

}
