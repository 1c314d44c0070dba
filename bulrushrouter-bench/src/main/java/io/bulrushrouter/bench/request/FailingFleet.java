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
 * Entries and upstreams, half of which fail for a while, under a steady load. Upstreams
 * are picked at random, so that the retry rules are seen alone.
 */
final class FailingFleet {

	static final int ENTRIES = 400;

	static final int UPSTREAMS = 40;

	static final int SECONDS = 45;

	static final int FAULT_FROM = 10;

	static final int FAULT_UNTIL = 25;

	private static final double REQUESTS_PER_SECOND = 2_100;

	private static final int DEADLINE_MILLIS = 2000;

	private static final int CONCURRENCY = 8;

	private static final int QUEUE = 64;

	private static final double NETWORK_MILLIS = 0.5;

	final EventLoop loop = new EventLoop();

	final List<Second> seconds = new ArrayList<>();

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
		for (int i = 0; i < SECONDS; i++) {
			this.seconds.add(new Second());
		}
		for (int i = 0; i < ENTRIES; i++) {
			this.budgets.add(RetryBudget.of(budgetRatio, RetryBudget.DEFAULT_BURST));
		}
		for (int i = 0; i < UPSTREAMS; i++) {
			SidecarCalls sidecar = SidecarCalls.of(i, SidecarPolicy.of(CONCURRENCY), CallQueue.ofFifo(QUEUE));
			FailureMode own = (i % 2 == 0) ? mode : FailureMode.NONE;
			this.upstreams.add(new FailingEngine(this, sidecar, own, this.random.split()).incarnation(i));
		}
	}

	void run() {
		arriveLater();
		this.loop.runUntil((SECONDS + 5) * 1000 * EventLoop.MILLIS);
	}

	private void arriveLater() {
		double gapMillis = -Math.log(1 - this.random.nextDouble()) * 1000 / REQUESTS_PER_SECOND;
		this.loop.after(gapMillis, () -> {
			if (this.loop.nowNanos() < SECONDS * 1000 * EventLoop.MILLIS) {
				submit();
				arriveLater();
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
		long deadline = this.loop.nowNanos() + DEADLINE_MILLIS * EventLoop.MILLIS;
		this.calls.put(id, EntryCall.of(id, spec, deadline, this.policy, budget, (excluded, now) -> pick(excluded)));
		this.submitted.put(id, this.loop.nowNanos());
		second().asked++;
		feed(id, new EntryEvent.Start());
	}

	private Optional<UpstreamId> pick(Set<UpstreamId> excluded) {
		List<UpstreamId> free = new ArrayList<>();
		for (int i = 0; i < UPSTREAMS; i++) {
			UpstreamId upstream = upstream(i);
			if (!excluded.contains(upstream)) {
				free.add(upstream);
			}
		}
		return free.isEmpty() ? Optional.empty() : Optional.of(free.get(this.random.nextInt(free.size())));
	}

	private static UpstreamId upstream(int number) {
		return UpstreamId.of(Integer.toString(number));
	}

	private Second second() {
		return this.seconds.get(Math.min(SECONDS - 1, secondOf(this.loop.nowNanos())));
	}

	static int secondOf(long nanos) {
		return (int) (nanos / Duration.ofSeconds(1).toNanos());
	}

	boolean isFaulty() {
		int now = secondOf(this.loop.nowNanos());
		return now >= FAULT_FROM && now < FAULT_UNTIL;
	}

	void reply(FailingEngine from, CallMessage message) {
		UpstreamId upstream = upstream(this.upstreams.indexOf(from));
		this.loop.after(NETWORK_MILLIS, () -> feed(message.attempt().request(),
				new EntryEvent.Received(upstream, Long.parseLong(upstream.value()), message)));
	}

	private void feed(RequestId id, EntryEvent event) {
		EntryCall call = this.calls.get(id);
		if (call == null) {
			return;
		}
		call.on(event, this.loop.nowNanos(), (action) -> act(action));
		if (call.verdict().isPresent()) {
			this.calls.remove(id);
			count(this.submitted.remove(id), call.verdict().get());
		}
		else if (!(event instanceof EntryEvent.Received)) {
			this.loop.at(call.nextWakeNanos(), () -> feed(id, new EntryEvent.Tick()));
		}
	}

	private void act(EntryAction action) {
		if (action instanceof EntryAction.Send send) {
			second().sent++;
			FailingEngine upstream = this.upstreams.get(Integer.parseInt(send.upstream().value()));
			this.loop.after(NETWORK_MILLIS, () -> upstream.arrive(send.call()));
		}
		else if (action instanceof EntryAction.SendCancel cancel) {
			FailingEngine upstream = this.upstreams.get(Integer.parseInt(cancel.upstream().value()));
			this.loop.after(NETWORK_MILLIS, () -> upstream.cancel(cancel.cancel()));
		}
	}

	private void count(long submittedNanos, Verdict verdict) {
		Second second = this.seconds.get(Math.min(SECONDS - 1, secondOf(submittedNanos)));
		if (verdict instanceof Verdict.Answered) {
			second.answered++;
			second.latencyMicros.recordValue((this.loop.nowNanos() - submittedNanos) / 1000);
		}
	}

	/**
	 * What happened to the load of one second.
	 */
	static final class Second {

		int asked;

		int sent;

		int answered;

		final Histogram latencyMicros = new Histogram(3);

	}

}
