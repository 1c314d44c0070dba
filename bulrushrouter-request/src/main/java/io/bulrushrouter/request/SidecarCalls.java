package io.bulrushrouter.request;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

import io.bulrushrouter.kernel.AttemptId;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.request.SidecarAction.Decision;

/**
 * State machine of all attempts at one sidecar, which alone decides what its upstream
 * runs. An attempt is marked as started before it is passed to the engine, and an attempt
 * so marked is reported as not run only if the engine certainly did not run it. It has no
 * clock and does no I/O. Not thread-safe.
 */
public final class SidecarCalls {

	private final long incarnation;

	private final SidecarPolicy policy;

	private final CallQueue queue;

	private final Guards guards;

	private final RunTable runs;

	private final CachedResponses cachedResponses;

	private final Replies replies;

	private final DuplicateRequestHandler duplicates;

	private final WaiterDeadlines deadlines;

	private final SidecarGate gate;

	private int activeRuns;

	private long nowNanos;

	private long dropped;

	private SidecarCalls(long incarnation, SidecarPolicy policy, CallQueue queue, Guards guards, boolean open) {
		this.incarnation = incarnation;
		this.policy = Objects.requireNonNull(policy);
		this.queue = Objects.requireNonNull(queue);
		this.guards = guards;
		this.runs = new RunTable(policy.maxEndedAttempts());
		this.cachedResponses = new CachedResponses(policy.maxCacheBytes());
		this.replies = new Replies(this.runs);
		this.deadlines = new WaiterDeadlines(policy.deadlineMargin());
		this.gate = new SidecarGate(open, guards.gate());
		this.duplicates = new DuplicateRequestHandler(this.runs, this.cachedResponses, this.replies, guards);
	}

	/**
	 * Creates an instance without attempts that accepts new ones.
	 * @param incarnation the sidecar process's incarnation, random at each start
	 * @param policy the limits
	 * @param queue the queue that orders the attempts
	 * @return the sidecar's attempts
	 */
	public static SidecarCalls of(long incarnation, SidecarPolicy policy, CallQueue queue) {
		return of(incarnation, policy, queue, Guards.ALL, true);
	}

	/**
	 * Creates an instance that rejects attempts as not ready until
	 * {@link SidecarEvent.AdmissionOpened}, so that a sidecar that restarts next to a
	 * leaving upstream accepts no new work.
	 * @param incarnation the sidecar process's incarnation, random at each start
	 * @param policy the limits
	 * @param queue the queue that orders the attempts
	 * @return the sidecar's attempts
	 */
	public static SidecarCalls ofClosed(long incarnation, SidecarPolicy policy, CallQueue queue) {
		return of(incarnation, policy, queue, Guards.ALL, false);
	}

	static SidecarCalls of(long incarnation, SidecarPolicy policy, CallQueue queue, Guards guards,
			boolean admissionOpen) {
		return new SidecarCalls(incarnation, policy, queue, guards, admissionOpen);
	}

	/**
	 * Returns the number of runs that are queued, claim their key or are started.
	 * @return the number of runs
	 */
	public int inFlight() {
		return this.runs.size();
	}

	/**
	 * Returns whether the upstream drains and has no run left.
	 * @return whether the upstream can be stopped
	 */
	public boolean isDrained() {
		return this.gate.isDraining() && this.runs.size() == 0;
	}

	/**
	 * Returns the number of messages dropped because they were late, repeated or
	 * addressed to another incarnation.
	 * @return the number of messages
	 */
	public long dropped() {
		return this.dropped;
	}

	/**
	 * Returns when the next {@link SidecarEvent.Tick} is due.
	 * @return the time in nanoseconds, or {@link Long#MAX_VALUE} if none is due
	 */
	public long nextWakeNanos() {
		return this.deadlines.nextWakeNanos();
	}

	/**
	 * Handles an event. The consumer may perform an action immediately and may call this
	 * method again with the events that result.
	 * @param event the event
	 * @param nowNanos the current time, in nanoseconds
	 * @param actions receives the actions to perform, in order
	 */
	public void on(SidecarEvent event, long nowNanos, Consumer<SidecarAction> actions) {
		this.nowNanos = nowNanos;
		if (event instanceof SidecarEvent.CallReceived received) {
			receive(received, nowNanos, actions);
		}
		else if (event instanceof SidecarEvent.CancelReceived cancel) {
			cancel(cancel.cancel().attempt(), actions);
		}
		else if (event instanceof SidecarEvent.EntryConnectionLost lost) {
			removeWaitersOf(lost.connection(), actions);
		}
		else if (event instanceof SidecarEvent.ClaimSettled settled) {
			settleClaim(settled, nowNanos, actions);
		}
		else if (event instanceof SidecarEvent.DrainRequested) {
			drain(actions);
		}
		else if (event instanceof SidecarEvent.AdmissionOpened) {
			this.gate.open();
		}
		else if (event instanceof SidecarEvent.EngineChanged) {
			this.cachedResponses.clearReads();
			this.runs.all().forEach(EngineRun::stopRecording);
		}
		else if (!(event instanceof SidecarEvent.Tick)) {
			onEngine(event, actions);
		}
		expireQueued(nowNanos, actions);
		startQueued(nowNanos, actions);
	}

	private void receive(SidecarEvent.CallReceived received, long nowNanos, Consumer<SidecarAction> actions) {
		CallMessage.Call call = received.call();
		boolean wrongIncarnation = this.guards.incarnation() && received.addressedIncarnation() != this.incarnation;
		if (wrongIncarnation || this.runs.findByWaiter(call.attempt()).isPresent()) {
			this.dropped++;
			return;
		}
		Optional<RunTable.EndState> ended = this.runs.endState(call.attempt());
		if (ended.isPresent() && ended.get() == RunTable.EndState.SETTLED) {
			this.dropped++;
			return;
		}
		long deadline = nowNanos + Duration.ofMillis(call.remainingMillis()).toNanos();
		EngineRun.Waiter waiter = new EngineRun.Waiter(call.attempt(), received.connection(), deadline);
		if (ended.isPresent()) {
			this.replies.notRun(waiter, ErrorCode.CANCELLED, 0, actions);
		}
		else if (this.gate.refusal().isPresent()) {
			this.replies.notRun(waiter, this.gate.refusal().get(), 0, actions);
		}
		else if (this.deadlines.isLate(waiter, nowNanos)) {
			this.replies.notRun(waiter, ErrorCode.DEADLINE_EXCEEDED, 0, actions);
		}
		else if (!this.duplicates.tryAnswer(waiter, call, actions)) {
			enqueue(waiter, call, nowNanos, actions);
		}
		this.runs.findByWaiter(call.attempt()).ifPresent((run) -> this.deadlines.add(waiter));
	}

	private void enqueue(EngineRun.Waiter waiter, CallMessage.Call call, long nowNanos,
			Consumer<SidecarAction> actions) {
		EngineRun run = new EngineRun(call.attempt(), call.spec(), call.resumeAfterTokens());
		this.runs.add(run);
		this.runs.join(run, waiter);
		this.replies.logDecision(call.attempt(), Decision.QUEUED, actions);
		this.queue.offer(new CallQueue.QueuedCall(call.attempt(), call.spec(), waiter.deadlineNanos()), nowNanos)
			.forEach((refusal) -> rejectOverloaded(refusal, actions));
	}

	private void rejectOverloaded(CallQueue.Refusal refusal, Consumer<SidecarAction> actions) {
		long retryAfterMillis = refusal.retryAfterMillis().orElse(this.policy.retryAfter().toMillis());
		this.runs.find(refusal.attempt())
			.filter((run) -> run.state() == EngineRun.State.QUEUED)
			.ifPresent((run) -> replyNotRun(run, ErrorCode.OVERLOADED, retryAfterMillis, actions));
	}

	private void startQueued(long nowNanos, Consumer<SidecarAction> actions) {
		while (this.activeRuns < this.policy.concurrency()) {
			Optional<EngineRun> run = this.queue.poll(nowNanos).flatMap((call) -> this.runs.find(call.attempt()));
			if (run.isEmpty()) {
				return;
			}
			this.activeRuns++;
			if (run.get().spec().idempotent() || !this.guards.claim()) {
				start(run.get(), actions);
			}
			else {
				run.get().state(EngineRun.State.CLAIMING);
				actions.accept(new SidecarAction.Claim(run.get().claimRequest(this.incarnation)));
			}
		}
	}

	private void start(EngineRun run, Consumer<SidecarAction> actions) {
		run.state(EngineRun.State.STARTED);
		this.replies.logDecision(run.id(), Decision.STARTED, actions);
		actions.accept(new SidecarAction.RunOnEngine(run.id(), run.spec(), run.resumeAfterTokens()));
	}

	private void settleClaim(SidecarEvent.ClaimSettled settled, long nowNanos, Consumer<SidecarAction> actions) {
		Optional<EngineRun> found = this.runs.find(settled.attempt())
			.filter((run) -> run.state() == EngineRun.State.CLAIMING);
		if (found.isEmpty()) {
			this.dropped++;
			return;
		}
		EngineRun run = found.get();
		if (settled.outcome() instanceof ClaimOutcome.Granted) {
			startClaimed(run, nowNanos, actions);
		}
		else if (settled.outcome() instanceof ClaimOutcome.Held held) {
			replyFailed(run, held.recent() ? ErrorCode.IN_FLIGHT : ErrorCode.ALREADY_RAN, actions);
		}
		else if (settled.outcome() instanceof ClaimOutcome.Unavailable unavailable) {
			replyNotRun(run, ErrorCode.STORE_UNAVAILABLE, unavailable.retryAfterMillis(), actions);
		}
		else {
			boolean lost = settled.outcome() instanceof ClaimOutcome.Lost;
			replyNotRun(run, lost ? ErrorCode.CONNECTION_LOST : ErrorCode.KEY_REUSED, 0, actions);
		}
	}

	private void startClaimed(EngineRun run, long nowNanos, Consumer<SidecarAction> actions) {
		boolean allLate = run.waiters().stream().allMatch((waiter) -> this.deadlines.isLate(waiter, nowNanos));
		if (allLate || this.gate.rejectsStarts()) {
			actions.accept(new SidecarAction.Release(run.claimRequest(this.incarnation)));
			replyNotRun(run, allLate ? ErrorCode.DEADLINE_EXCEEDED : ErrorCode.DRAINING, 0, actions);
			return;
		}
		start(run, actions);
	}

	private void cancel(AttemptId attempt, Consumer<SidecarAction> actions) {
		Optional<EngineRun> run = this.runs.findByWaiter(attempt);
		if (run.isEmpty()) {
			if (this.runs.endState(attempt).isEmpty()) {
				this.runs.markEnded(attempt, RunTable.EndState.CANCELLED_EARLY);
			}
			return;
		}
		cancelWaiter(run.get(), run.get().waiter(attempt), ErrorCode.CANCELLED, actions);
	}

	// Answers an attempt that was cancelled or has expired.
	private void cancelWaiter(EngineRun run, EngineRun.Waiter waiter, ErrorCode code, Consumer<SidecarAction> actions) {
		boolean mayHaveRun = run.state() == EngineRun.State.STARTED || run.waiters().size() > 1;
		removeWaiter(run, waiter, actions);
		if (mayHaveRun && this.guards.startedMark()) {
			this.replies.failed(waiter, code, actions);
		}
		else {
			this.replies.notRun(waiter, code, 0, actions);
		}
	}

	private void removeWaitersOf(long connection, Consumer<SidecarAction> actions) {
		for (EngineRun run : this.runs.all()) {
			for (EngineRun.Waiter waiter : List.copyOf(run.waiters())) {
				if (waiter.connection() == connection) {
					removeWaiter(run, waiter, actions);
				}
			}
		}
	}

	private void removeWaiter(EngineRun run, EngineRun.Waiter waiter, Consumer<SidecarAction> actions) {
		this.runs.leave(run, waiter);
		this.deadlines.remove(waiter);
		if (!run.waiters().isEmpty()) {
			return;
		}
		if (run.state() == EngineRun.State.QUEUED) {
			this.queue.remove(run.id());
			this.runs.remove(run);
		}
		else if (run.state() == EngineRun.State.STARTED && run.spec().idempotent()) {
			run.markCancelled();
			this.runs.stopSharing(run);
			actions.accept(new SidecarAction.CancelOnEngine(run.id()));
		}
	}

	private void drain(Consumer<SidecarAction> actions) {
		this.gate.drain();
		for (EngineRun run : this.runs.all()) {
			if (run.state() == EngineRun.State.QUEUED && this.gate.rejectsStarts()) {
				this.queue.remove(run.id());
				replyNotRun(run, ErrorCode.DRAINING, 0, actions);
			}
		}
	}

	private void expireQueued(long nowNanos, Consumer<SidecarAction> actions) {
		Optional<EngineRun.Waiter> expired = this.deadlines.pollLate(nowNanos);
		while (expired.isPresent()) {
			EngineRun.Waiter waiter = expired.get();
			this.runs.findByWaiter(waiter.attempt())
				.filter((run) -> run.state() == EngineRun.State.QUEUED)
				.ifPresent((run) -> cancelWaiter(run, waiter, ErrorCode.DEADLINE_EXCEEDED, actions));
			expired = this.deadlines.pollLate(nowNanos);
		}
	}

	private void onEngine(SidecarEvent event, Consumer<SidecarAction> actions) {
		if (event instanceof SidecarEvent.EngineHead head) {
			findStarted(head.attempt()).ifPresent((run) -> {
				run.head(head);
				run.waiters().forEach((waiter) -> actions.accept(waiter.head(head)));
			});
		}
		else if (event instanceof SidecarEvent.EngineData data) {
			findStarted(data.attempt()).ifPresent((run) -> forward(run, data, actions));
		}
		else if (event instanceof SidecarEvent.EngineEnd end) {
			findStarted(end.attempt()).ifPresent((run) -> complete(run, actions));
		}
		else if (event instanceof SidecarEvent.EngineFailed failed) {
			findStarted(failed.attempt()).ifPresent((run) -> failRun(run, failed, actions));
		}
	}

	private Optional<EngineRun> findStarted(AttemptId attempt) {
		Optional<EngineRun> run = this.runs.find(attempt).filter((found) -> found.state() == EngineRun.State.STARTED);
		this.dropped += run.isEmpty() ? 1 : 0;
		return run;
	}

	private void forward(EngineRun run, SidecarEvent.EngineData data, Consumer<SidecarAction> actions) {
		ResponseCache.Part part = new ResponseCache.Part(data.bytes(), data.tokens());
		run.record(part, this.policy.maxCachedResponseBytes());
		run.waiters().forEach((waiter) -> actions.accept(waiter.data(part)));
		this.queue.served(run.id(), data.tokens());
	}

	private void complete(EngineRun run, Consumer<SidecarAction> actions) {
		this.cachedResponses.put(run);
		for (EngineRun.Waiter waiter : List.copyOf(run.waiters())) {
			actions.accept(waiter.end());
		}
		this.replies.logDecision(run.id(), Decision.ANSWERED, actions);
		remove(run);
	}

	private void failRun(EngineRun run, SidecarEvent.EngineFailed failed, Consumer<SidecarAction> actions) {
		if (failed.mayHaveRun() || run.head().isPresent()) {
			replyFailed(run, failed.code(), actions);
			return;
		}
		if (!run.spec().idempotent() && this.guards.claim()) {
			actions.accept(new SidecarAction.Release(run.claimRequest(this.incarnation)));
		}
		replyNotRun(run, failed.code(), 0, actions);
	}

	private void replyNotRun(EngineRun run, ErrorCode code, long retryAfterMillis, Consumer<SidecarAction> actions) {
		remove(run).forEach((waiter) -> this.replies.notRun(waiter, code, retryAfterMillis, actions));
	}

	private void replyFailed(EngineRun run, ErrorCode code, Consumer<SidecarAction> actions) {
		remove(run).forEach((waiter) -> this.replies.failed(waiter, code, actions));
	}

	private List<EngineRun.Waiter> remove(EngineRun run) {
		List<EngineRun.Waiter> waiters = List.copyOf(run.waiters());
		if (run.state() != EngineRun.State.QUEUED) {
			this.activeRuns--;
			this.queue.finished(run.id(), this.nowNanos);
		}
		this.deadlines.removeAll(waiters);
		this.runs.remove(run);
		return waiters;
	}

}
