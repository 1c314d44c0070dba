package io.bulrushrouter.bench.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import org.HdrHistogram.Histogram;

import io.bulrushrouter.kernel.ModelId;
import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.RequestId;
import io.bulrushrouter.kernel.UpstreamId;
import io.bulrushrouter.kernel.Verdict;
import io.bulrushrouter.request.CallKind;
import io.bulrushrouter.request.CallMessage;
import io.bulrushrouter.request.CallQueue;
import io.bulrushrouter.request.EntryAction;
import io.bulrushrouter.request.EntryCall;
import io.bulrushrouter.request.EntryEvent;
import io.bulrushrouter.request.EntryPolicy;
import io.bulrushrouter.request.RequestSpec;
import io.bulrushrouter.request.RetryBudget;
import io.bulrushrouter.request.SidecarCalls;
import io.bulrushrouter.request.SidecarPolicy;

/**
 * Simulates entries and upstreams under a steady load while half of the upstreams fail
 * for a limited time. Upstreams are picked at random, so that routing does not mask the
 * effect of the retry rules.
 */
final class FailingFleet {

	static final int ENTRIES = 400;

	static final int UPSTREAMS = 40;

	static final int DURATION_SECONDS = 45;

	static final int FAULT_START_SECOND = 10;

	static final int FAULT_END_SECOND = 25;

	private static final double REQUESTS_PER_SECOND = 2_100;

	private static final int DEADLINE_MILLIS = 2000;

	private static final int CONCURRENCY = 8;

	private static final int QUEUE_CAPACITY = 64;

	private static final double ONE_WAY_LATENCY_MILLIS = 0.5;

	final EventLoop loop = new EventLoop();

	final List<SecondStats> seconds = new ArrayList<>();

	private final SplittableRandom random;

	private final List<RetryBudget> budgets = new ArrayList<>();

	private final List<FailingEngine> upstreams = new ArrayList<>();

	private final EntryPolicy policy;

	private final Map<RequestId, EntryCall> calls = new HashMap<>();

	private final Map<RequestId, Long> submitted = new HashMap<>();

	private long requests;

	FailingFleet(FailureMode mode, EntryPolicy policy, double budgetRatio, long seed) {
		this.random = new SplittableRandom(seed);
		this.policy = policy;
		for (int i = 0; i < DURATION_SECONDS; i++) {
			this.seconds.add(new SecondStats());
		}
		for (int i = 0; i < ENTRIES; i++) {
			this.budgets.add(RetryBudget.of(budgetRatio, RetryBudget.DEFAULT_BURST));
		}
		for (int i = 0; i < UPSTREAMS; i++) {
			SidecarCalls sidecar = SidecarCalls.of(i, SidecarPolicy.of(CONCURRENCY), CallQueue.ofFifo(QUEUE_CAPACITY));
			FailureMode upstreamMode = (i % 2 == 0) ? mode : FailureMode.NONE;
			this.upstreams.add(new FailingEngine(this, sidecar, upstreamMode, this.random.split()).withIncarnation(i));
		}
	}

	void run() {
		scheduleArrival();
		this.loop.runUntil((DURATION_SECONDS + 5) * 1000 * EventLoop.NANOS_PER_MILLI);
	}

	private void scheduleArrival() {
		double gapMillis = -Math.log(1 - this.random.nextDouble()) * 1000 / REQUESTS_PER_SECOND;
		this.loop.after(gapMillis, () -> {
			if (this.loop.nowNanos() < DURATION_SECONDS * 1000 * EventLoop.NANOS_PER_MILLI) {
				submit();
				scheduleArrival();
			}
		});
	}

	private void submit() {
		this.requests++;
		RequestId id = new RequestId(1, this.requests);
		RequestSpec spec = RequestSpec.builder()
			.organisation(OrganisationId.of("o"))
			.model(ModelId.of("m"))
			.kind(CallKind.SERVICE)
			.digest(this.requests)
			.build();
		RetryBudget budget = this.budgets.get((int) (this.requests % ENTRIES));
		long deadline = this.loop.nowNanos() + DEADLINE_MILLIS * EventLoop.NANOS_PER_MILLI;
		this.calls.put(id,
				EntryCall.of(id, spec, deadline, this.policy, budget, (excluded, now) -> pickUpstream(excluded)));
		this.submitted.put(id, this.loop.nowNanos());
		currentSecond().requests++;
		deliver(id, new EntryEvent.Start());
	}

	private Optional<UpstreamId> pickUpstream(Set<UpstreamId> excluded) {
		List<UpstreamId> candidates = new ArrayList<>();
		for (int i = 0; i < UPSTREAMS; i++) {
			UpstreamId upstream = upstreamId(i);
			if (!excluded.contains(upstream)) {
				candidates.add(upstream);
			}
		}
		return candidates.isEmpty() ? Optional.empty()
				: Optional.of(candidates.get(this.random.nextInt(candidates.size())));
	}

	private static UpstreamId upstreamId(int number) {
		return UpstreamId.of(Integer.toString(number));
	}

	private SecondStats currentSecond() {
		return this.seconds.get(Math.min(DURATION_SECONDS - 1, secondOf(this.loop.nowNanos())));
	}

	static int secondOf(long nanos) {
		return (int) (nanos / Duration.ofSeconds(1).toNanos());
	}

	boolean isFaulty() {
		int now = secondOf(this.loop.nowNanos());
		return now >= FAULT_START_SECOND && now < FAULT_END_SECOND;
	}

	void reply(FailingEngine from, CallMessage message) {
		UpstreamId upstream = upstreamId(this.upstreams.indexOf(from));
		this.loop.after(ONE_WAY_LATENCY_MILLIS, () -> deliver(message.attempt().request(),
				new EntryEvent.Received(upstream, Long.parseLong(upstream.value()), message)));
	}

	private void deliver(RequestId id, EntryEvent event) {
		EntryCall call = this.calls.get(id);
		if (call == null) {
			return;
		}
		call.on(event, this.loop.nowNanos(), (action) -> execute(action));
		if (call.verdict().isPresent()) {
			this.calls.remove(id);
			recordVerdict(this.submitted.remove(id), call.verdict().get());
		}
		else if (!(event instanceof EntryEvent.Received)) {
			this.loop.at(call.nextWakeNanos(), () -> deliver(id, new EntryEvent.Tick()));
		}
	}

	private void execute(EntryAction action) {
		if (action instanceof EntryAction.Send send) {
			currentSecond().attempts++;
			FailingEngine upstream = this.upstreams.get(Integer.parseInt(send.upstream().value()));
			this.loop.after(ONE_WAY_LATENCY_MILLIS, () -> upstream.arrive(send.call()));
		}
		else if (action instanceof EntryAction.SendCancel cancel) {
			FailingEngine upstream = this.upstreams.get(Integer.parseInt(cancel.upstream().value()));
			this.loop.after(ONE_WAY_LATENCY_MILLIS, () -> upstream.cancel(cancel.cancel()));
		}
	}

	private void recordVerdict(long submittedNanos, Verdict verdict) {
		SecondStats second = this.seconds.get(Math.min(DURATION_SECONDS - 1, secondOf(submittedNanos)));
		if (verdict instanceof Verdict.Answered) {
			second.answered++;
			second.latencyMicros.recordValue((this.loop.nowNanos() - submittedNanos) / 1000);
		}
	}

	/**
	 * Counts and latencies of one simulated second. Answers count towards the second in
	 * which their request was submitted.
	 */
	static final class SecondStats {

		int requests;

		int attempts;

		int answered;

		final Histogram latencyMicros = new Histogram(3);

	}

}
