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
 * Simulates one limit that two quota allocators divide among many entries, with lost
 * messages, the failure of an entry that holds quota and the failure of an allocator. The
 * limits are the production implementation; the network is simulated.
 */
final class LimitsModel {

	static final double TOKENS_PER_SECOND = 50_000;

	private static final Limit LIMIT = new Limit(TOKENS_PER_SECOND);

	private static final int REQUEST_TOKENS = 1000;

	private static final double ONE_WAY_MILLIS = 0.5;

	private static final double TICK_INTERVAL_MILLIS = 50;

	/** Fraction of messages lost between entries and quota allocators. */
	private static final double MESSAGE_LOSS_RATIO = 0.001;

	/** Maximum time that a request waits for quota, in nanoseconds. */
	private static final long QUOTA_WAIT_TIMEOUT_NANOS = 1_000_000_000L;

	/** Time until a failed quota allocator is replaced, in milliseconds. */
	private static final double ALLOCATOR_REPLACEMENT_MILLIS = 15_000;

	/**
	 * Quota allocators start with empty buckets, so requests up to this time are not
	 * counted, in nanoseconds.
	 */
	private static final long WARM_UP_NANOS = 5_000_000_000L;

	private static final OrganisationId ORGANISATION = OrganisationId.of("o");

	private static final ModelId MODEL = ModelId.of("m");

	private final EventScheduler scheduler = new EventScheduler();

	private final SplittableRandom random;

	private final Demand demand;

	private final List<OrganisationLimits> entries = new ArrayList<>();

	private final List<List<PendingRequest>> pendingRequests = new ArrayList<>();

	private final QuotaAllocator[] allocators = new QuotaAllocator[QuotaAllocator.ALLOCATORS_PER_LIMIT];

	private final double[] admittedTokens;

	private long requests;

	private long refused;

	private long quotaRequests;

	private long fence = 1;

	private LimitsModel(Demand demand, long seed) {
		this.demand = demand;
		this.random = new SplittableRandom(seed);
		this.admittedTokens = new double[(int) demand.seconds() + 2];
		for (int i = 0; i < demand.entries(); i++) {
			this.entries.add(OrganisationLimits.of((organisation, model) -> Optional.of(LIMIT), demand.entries(), i));
			this.pendingRequests.add(new ArrayList<>());
		}
		for (int i = 0; i < this.allocators.length; i++) {
			replaceAllocator(i);
		}
	}

	static Result run(Demand demand, long seed) {
		LimitsModel model = new LimitsModel(demand, seed);
		return model.run();
	}

	private Result run() {
		this.scheduler.after(0, this::arrive);
		this.scheduler.after(TICK_INTERVAL_MILLIS, this::tick);
		if (this.demand.fault() == Fault.ALLOCATOR) {
			this.scheduler.after(this.demand.seconds() * 400, () -> failAllocator(0));
		}
		if (this.demand.fault() == Fault.ENTRY) {
			this.scheduler.after(this.demand.seconds() * 400, this::failEntry);
		}
		this.scheduler.runUntil((long) (this.demand.seconds() * 1e9));
		return new Result(this.admittedTokens, this.requests, this.refused, this.quotaRequests);
	}

	private void replaceAllocator(int index) {
		this.fence++;
		this.allocators[index] = QuotaAllocator.of((organisation, model) -> Optional.of(LIMIT), this.fence,
				this.scheduler.nowNanos());
	}

	private void failAllocator(int index) {
		this.allocators[index] = null;
		this.scheduler.after(ALLOCATOR_REPLACEMENT_MILLIS, () -> replaceAllocator(index));
	}

	private void failEntry() {
		int entries = this.demand.entries();
		this.entries.set(0, OrganisationLimits.of((organisation, model) -> Optional.of(LIMIT), entries, 0));
		this.pendingRequests.get(0).clear();
	}

	private void arrive() {
		double rate = this.demand.load() * TOKENS_PER_SECOND / REQUEST_TOKENS;
		this.scheduler.after(-Math.log(1 - this.random.nextDouble()) / rate * 1000, this::arrive);
		boolean hot = this.random.nextDouble() < this.demand.skew();
		int entry = this.random.nextInt(hot ? Math.min(3, this.demand.entries()) : this.demand.entries());
		this.requests += isWarmedUp() ? 1 : 0;
		int tokens = (int) (REQUEST_TOKENS * (0.5 + this.random.nextDouble()));
		admit(entry, new PendingRequest(tokens, this.scheduler.nowNanos() + QUOTA_WAIT_TIMEOUT_NANOS));
		sendQuotaRequests(entry);
	}

	private void admit(int entry, PendingRequest request) {
		Admission admission = this.entries.get(entry)
			.admit(ORGANISATION, MODEL, request.tokens(), this.scheduler.nowNanos());
		if (admission instanceof Admission.Admitted) {
			this.admittedTokens[(int) (this.scheduler.nowNanos() / 1_000_000_000L)] += request.tokens();
		}
		else if (admission instanceof Admission.Pending && this.scheduler.nowNanos() < request.deadlineNanos()) {
			this.pendingRequests.get(entry).add(request);
		}
		else {
			this.refused += isWarmedUp() ? 1 : 0;
		}
	}

	private boolean isWarmedUp() {
		return this.scheduler.nowNanos() > WARM_UP_NANOS;
	}

	private void tick() {
		this.scheduler.after(TICK_INTERVAL_MILLIS, this::tick);
		for (int i = 0; i < this.entries.size(); i++) {
			sendQuotaRequests(i);
			retry(i);
		}
	}

	private void retry(int entry) {
		List<PendingRequest> pending = new ArrayList<>(this.pendingRequests.get(entry));
		this.pendingRequests.get(entry).clear();
		pending.forEach((request) -> admit(entry, request));
	}

	private void sendQuotaRequests(int entry) {
		for (QuotaRequest quotaRequest : this.entries.get(entry).quotaRequests(this.scheduler.nowNanos())) {
			this.quotaRequests++;
			if (this.random.nextDouble() >= MESSAGE_LOSS_RATIO) {
				this.scheduler.after(ONE_WAY_MILLIS, () -> deliverQuotaRequest(entry, quotaRequest));
			}
		}
	}

	private void deliverQuotaRequest(int entry, QuotaRequest quotaRequest) {
		QuotaAllocator allocator = this.allocators[quotaRequest.allocator()];
		if (allocator == null || this.random.nextDouble() < MESSAGE_LOSS_RATIO) {
			return;
		}
		QuotaGrant grant = allocator.allocate(quotaRequest, this.scheduler.nowNanos());
		this.scheduler.after(ONE_WAY_MILLIS, () -> {
			this.entries.get(entry).granted(grant, this.scheduler.nowNanos());
			retry(entry);
			sendQuotaRequests(entry);
		});
	}

	/**
	 * The load of one run and the fault that is injected.
	 *
	 * @param name the row label in the table
	 * @param entries the number of entries
	 * @param load the tokens requested, relative to the limit
	 * @param skew the fraction of requests that arrive at the first three entries
	 * @param seconds the simulated time, in seconds
	 * @param fault the component that fails
	 */
	record Demand(String name, int entries, double load, double skew, double seconds, Fault fault) {
	}

	/**
	 * The component that fails during a run.
	 */
	enum Fault {

		/** No component fails. */
		NONE,

		/** An entry fails together with the quota that it holds. */
		ENTRY,

		/** One of the two quota allocators fails and is replaced 15 s later. */
		ALLOCATOR

	}

	/**
	 * The figures of one run.
	 *
	 * @param admittedTokens the tokens admitted in each second
	 * @param requests the number of requests after the warm-up
	 * @param refused the number of these requests that were refused
	 * @param quotaRequests the number of messages sent to quota allocators
	 */
	record Result(double[] admittedTokens, long requests, long refused, long quotaRequests) {

		double maxUseRatio(int windowSeconds) {
			double max = 0;
			double sum = 0;
			for (int i = 0; i < this.admittedTokens.length; i++) {
				sum += this.admittedTokens[i] - ((i >= windowSeconds) ? this.admittedTokens[i - windowSeconds] : 0);
				max = Math.max(max, sum / windowSeconds / TOKENS_PER_SECOND);
			}
			return max;
		}

	}

	/**
	 * A request that waits for quota.
	 *
	 * @param tokens the tokens to take from the quota
	 * @param deadlineNanos the time at which the request is refused, in nanoseconds
	 */
	private record PendingRequest(int tokens, long deadlineNanos) {
	}

}
