package io.bulrushrouter.request;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

import io.bulrushrouter.kernel.AttemptId;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.RequestId;
import io.bulrushrouter.kernel.UpstreamId;
import io.bulrushrouter.kernel.Verdict;

/**
 * State machine of one request at the entry, from its admission to its single final
 * response. It has no clock and does no I/O: it handles events and emits the actions to
 * perform. Not thread-safe.
 *
 * <pre>{@code
 * EntryCall call = EntryCall.of(id, spec, deadline, EntryPolicy.ofDefaults(), budget, picker);
 * call.on(new EntryEvent.Start(), now, actions::add);
 * }</pre>
 */
public final class EntryCall {

	private final RequestId id;

	private final RequestSpec spec;

	private final EntryPolicy policy;

	private final RetryBudget budget;

	private final UpstreamPicker picker;

	private final Guards guards;

	private final ResponseRelay relay;

	private final OpenAttempts openAttempts = new OpenAttempts();

	private final AttemptTimers timers;

	private Optional<OpenAttempt> winner = Optional.empty();

	private Optional<Verdict> verdict = Optional.empty();

	private boolean hedged;

	private boolean rerunsStream;

	private int attempts;

	private int drainedAttempts;

	private long dropped;

	private EntryCall(RequestId id, RequestSpec spec, long deadlineNanos, EntryPolicy policy, RetryBudget budget,
			UpstreamPicker picker, Guards guards) {
		this.id = Objects.requireNonNull(id);
		this.spec = Objects.requireNonNull(spec);
		this.timers = new AttemptTimers(spec, deadlineNanos, policy);
		this.policy = Objects.requireNonNull(policy);
		this.budget = Objects.requireNonNull(budget);
		this.picker = Objects.requireNonNull(picker);
		this.guards = guards;
		this.relay = new ResponseRelay(spec.stream(), policy.maxBufferedBytes());
		this.rerunsStream = !policy.resumesStreams();
	}

	/**
	 * Creates a request that has not started.
	 * @param id the request's identifier
	 * @param spec the request
	 * @param deadlineNanos the caller's deadline, on the clock of {@link #on}
	 * @param policy the limits of attempts, retries and hedges
	 * @param budget the entry's budget for retries and hedges
	 * @param picker selects the upstream of each attempt
	 * @return the request
	 */
	public static EntryCall of(RequestId id, RequestSpec spec, long deadlineNanos, EntryPolicy policy,
			RetryBudget budget, UpstreamPicker picker) {
		return of(id, spec, deadlineNanos, policy, budget, picker, Guards.ALL);
	}

	static EntryCall of(RequestId id, RequestSpec spec, long deadlineNanos, EntryPolicy policy, RetryBudget budget,
			UpstreamPicker picker, Guards guards) {
		return new EntryCall(id, spec, deadlineNanos, policy, budget, picker, guards);
	}

	/**
	 * Returns the request's identifier.
	 * @return the identifier
	 */
	public RequestId id() {
		return this.id;
	}

	/**
	 * Returns the request's verdict.
	 * @return the verdict, or empty while the request is in progress
	 */
	public Optional<Verdict> verdict() {
		return this.verdict;
	}

	/**
	 * Returns the number of attempts sent, hedges included.
	 * @return the number of attempts
	 */
	public int attempts() {
		return this.attempts;
	}

	/**
	 * Returns the number of messages dropped because they were late, repeated or not from
	 * the process that an open attempt was sent to.
	 * @return the number of messages
	 */
	public long dropped() {
		return this.dropped;
	}

	/**
	 * Returns when the next {@link EntryEvent.Tick} is due.
	 * @return the time in nanoseconds, or {@link Long#MAX_VALUE} once the request has
	 * ended
	 */
	public long nextWakeNanos() {
		if (this.verdict.isPresent()) {
			return Long.MAX_VALUE;
		}
		return this.timers.nextWakeNanos(this.openAttempts, mayHedge());
	}

	/**
	 * Handles an event. The consumer may perform an action immediately and may call this
	 * method again with the events that result.
	 * @param event the event
	 * @param nowNanos the current time, in nanoseconds
	 * @param actions receives the actions to perform, in order
	 */
	public void on(EntryEvent event, long nowNanos, Consumer<EntryAction> actions) {
		if (this.verdict.isPresent()) {
			this.dropped += (event instanceof EntryEvent.Received) ? 1 : 0;
			return;
		}
		if (event instanceof EntryEvent.CallerDisconnected) {
			abandon(actions);
		}
		else if (this.timers.isExpired(nowNanos)) {
			expire(actions);
		}
		else {
			handle(event, nowNanos, actions);
		}
	}

	private void handle(EntryEvent event, long nowNanos, Consumer<EntryAction> actions) {
		if (event instanceof EntryEvent.Start) {
			start(nowNanos, actions);
		}
		else if (event instanceof EntryEvent.Sent sent) {
			this.openAttempts.find(sent.attempt())
				.ifPresent((attempt) -> attempt.bindIncarnation(sent.upstreamIncarnation()));
		}
		else if (event instanceof EntryEvent.Received received) {
			receive(received, nowNanos, actions);
		}
		else if (event instanceof EntryEvent.ConnectionLost lost) {
			failConnection(lost.upstream(), nowNanos, actions);
		}
		else if (event instanceof EntryEvent.SendFailed failed) {
			this.openAttempts.find(failed.attempt())
				.ifPresent((attempt) -> fail(attempt, Verdict.ofNotRun(ErrorCode.ENGINE_UNREACHABLE), 0, nowNanos,
						actions));
		}
		else {
			tick(nowNanos, actions);
		}
	}

	private void start(long nowNanos, Consumer<EntryAction> actions) {
		this.budget.deposit(nowNanos);
		Optional<UpstreamId> upstream = this.picker.pick(this.openAttempts.triedUpstreams(), nowNanos);
		if (upstream.isEmpty()) {
			endWithError(ErrorCode.NO_UPSTREAM, 0, actions);
			return;
		}
		send(upstream.get(), nowNanos, actions);
	}

	private void send(UpstreamId upstream, long nowNanos, Consumer<EntryAction> actions) {
		this.attempts++;
		int resumeAfter = (this.relay.started() && !this.rerunsStream) ? this.relay.sentTokens() : 0;
		AttemptId attempt = this.id.attempt(this.attempts);
		this.openAttempts.add(new OpenAttempt(attempt, upstream, resumeAfter, nowNanos));
		long remainingMillis = Duration.ofNanos(this.timers.remainingNanos(nowNanos)).toMillis();
		actions.accept(
				new EntryAction.Send(upstream, new CallMessage.Call(attempt, this.spec, remainingMillis, resumeAfter)));
	}

	private void receive(EntryEvent.Received received, long nowNanos, Consumer<EntryAction> actions) {
		OpenAttempt attempt = this.openAttempts.find(received.message().attempt().attempt()).orElse(null);
		if (attempt == null || (this.guards.incarnation() && !attempt.isFrom(received))) {
			this.dropped++;
			return;
		}
		attempt.bindIncarnation(received.upstreamIncarnation());
		CallMessage message = received.message();
		if (message instanceof CallMessage.NotRun notRun) {
			receiveNotRun(attempt, notRun, nowNanos, actions);
		}
		else if (message instanceof CallMessage.Failed failed) {
			fail(attempt, Verdict.ofMayHaveRun(failed.code()), 0, nowNanos, actions);
		}
		else {
			bufferPart(attempt, message, nowNanos, actions);
		}
	}

	private void receiveNotRun(OpenAttempt attempt, CallMessage.NotRun notRun, long nowNanos,
			Consumer<EntryAction> actions) {
		if (attempt.isResponding()) {
			this.dropped++;
			return;
		}
		fail(attempt, Verdict.ofNotRun(notRun.code()), notRun.retryAfterMillis(), nowNanos, actions);
	}

	private void bufferPart(OpenAttempt attempt, CallMessage message, long nowNanos, Consumer<EntryAction> actions) {
		if (!attempt.buffer(message)) {
			this.dropped++;
			return;
		}
		Optional<CallMessage> part = attempt.pollNext(nowNanos);
		while (part.isPresent() && this.openAttempts.contains(attempt)) {
			accept(attempt, part.get(), nowNanos, actions);
			part = attempt.pollNext(nowNanos);
		}
	}

	private void accept(OpenAttempt attempt, CallMessage part, long nowNanos, Consumer<EntryAction> actions) {
		boolean consistent;
		if (part instanceof CallMessage.Head head) {
			selectWinner(attempt, actions);
			consistent = this.relay.head(head, attempt.resumeAfterTokens() > 0, actions);
		}
		else if (part instanceof CallMessage.Data data) {
			consistent = this.relay.data(data.bytes(), attempt.tokens(), actions);
		}
		else {
			consistent = end(attempt, (CallMessage.End) part, actions);
		}
		if (!consistent) {
			failInconsistent(attempt, nowNanos, actions);
		}
	}

	private void selectWinner(OpenAttempt attempt, Consumer<EntryAction> actions) {
		this.winner = Optional.of(attempt);
		for (OpenAttempt other : this.openAttempts.all()) {
			if (other != attempt) {
				cancel(other, ErrorCode.CANCELLED, actions);
			}
		}
	}

	private boolean end(OpenAttempt attempt, CallMessage.End end, Consumer<EntryAction> actions) {
		if (end.totalBytes() != attempt.bytes() || !this.relay.end(actions)) {
			return false;
		}
		this.openAttempts.clear();
		this.verdict = Optional.of(Verdict.ofAnswered());
		return true;
	}

	// Handles a response that is inconsistent in itself or with what was already sent.
	private void failInconsistent(OpenAttempt attempt, long nowNanos, Consumer<EntryAction> actions) {
		if (this.relay.started()) {
			cancel(attempt, ErrorCode.STREAM_BROKEN, actions);
			endWithError(ErrorCode.STREAM_BROKEN, 0, actions);
			return;
		}
		fail(attempt, Verdict.ofMayHaveRun(ErrorCode.STREAM_BROKEN), 0, nowNanos, actions);
	}

	private void failConnection(UpstreamId upstream, long nowNanos, Consumer<EntryAction> actions) {
		for (OpenAttempt attempt : this.openAttempts.all()) {
			if (attempt.upstream().equals(upstream)) {
				fail(attempt, Verdict.ofMayHaveRun(ErrorCode.CONNECTION_LOST), 0, nowNanos, actions);
			}
		}
	}

	private void fail(OpenAttempt attempt, Verdict outcome, long retryAfterMillis, long nowNanos,
			Consumer<EntryAction> actions) {
		this.openAttempts.end(attempt, outcome);
		if (this.winner.filter((current) -> current == attempt).isPresent()) {
			this.winner = Optional.empty();
			this.relay.discardBuffered();
		}
		ErrorCode code = outcome.failure().orElseThrow();
		if (attempt.cancelled()) {
			endCancelled(code, actions);
		}
		else if (this.openAttempts.size() == 0) {
			retryOrGiveUp(attempt, outcome, retryAfterMillis, nowNanos, actions);
		}
	}

	// Ends a request whose last attempt was cancelled shortly before the deadline.
	private void endCancelled(ErrorCode code, Consumer<EntryAction> actions) {
		if (this.openAttempts.size() == 0) {
			endWithError((code == ErrorCode.CANCELLED) ? ErrorCode.DEADLINE_EXCEEDED : code, 0, actions);
		}
	}

	private void retryOrGiveUp(OpenAttempt attempt, Verdict outcome, long retryAfterMillis, long nowNanos,
			Consumer<EntryAction> actions) {
		ErrorCode code = outcome.failure().orElseThrow();
		boolean refusedResume = attempt.resumeAfterTokens() > 0 && code == ErrorCode.STREAM_BROKEN;
		this.rerunsStream |= refusedResume;
		this.drainedAttempts += RetryRules.consumesBudget(outcome) ? 0 : 1;
		boolean retryAllowed = RetryRules.allowsRetry(outcome, this.spec.idempotent())
				&& this.timers.allowsAnotherAttempt(this.attempts - this.drainedAttempts, nowNanos)
				&& (!this.rerunsStream || this.relay.canRerun());
		Optional<UpstreamId> next = retryAllowed ? this.picker.pick(this.openAttempts.triedUpstreams(), nowNanos)
				: Optional.empty();
		boolean retries = next.isPresent() && (!RetryRules.consumesBudget(outcome) || this.budget.tryWithdraw());
		RetryDecision.Kind kind = retries ? retryKind() : RetryDecision.Kind.GIVE_UP;
		actions.accept(new EntryAction.LogDecision(new RetryDecision(attempt.id(), attempt.upstream(), kind,
				outcome.mayHaveRun(), Optional.of(code), retries ? next : Optional.empty())));
		if (retries) {
			send(next.get(), nowNanos, actions);
			return;
		}
		boolean budgetSpent = retryAllowed && next.isPresent();
		endWithError((budgetSpent && !outcome.mayHaveRun()) ? ErrorCode.RETRY_BUDGET_SPENT : code, retryAfterMillis,
				actions);
	}

	private RetryDecision.Kind retryKind() {
		return (this.relay.started()) ? RetryDecision.Kind.RESUME : RetryDecision.Kind.RETRY;
	}

	private void tick(long nowNanos, Consumer<EntryAction> actions) {
		for (OpenAttempt attempt : this.openAttempts.all()) {
			if (this.timers.isStalled(attempt, nowNanos)) {
				actions.accept(attempt.cancel());
				fail(attempt, Verdict.ofMayHaveRun(ErrorCode.STREAM_BROKEN), 0, nowNanos, actions);
			}
			else if (this.timers.isCancelDue(attempt, nowNanos)) {
				attempt.markCancelled();
				actions.accept(attempt.cancel());
			}
			else if (mayHedge() && this.timers.isHedgeDue(attempt, nowNanos)) {
				hedge(attempt, nowNanos, actions);
			}
		}
	}

	private void hedge(OpenAttempt slowAttempt, long nowNanos, Consumer<EntryAction> actions) {
		this.hedged = true;
		Optional<UpstreamId> next = this.timers.allowsAnotherAttempt(this.attempts - this.drainedAttempts, nowNanos)
				? this.picker.pick(this.openAttempts.triedUpstreams(), nowNanos) : Optional.empty();
		if (next.isPresent() && this.budget.tryWithdraw()) {
			actions.accept(new EntryAction.LogDecision(new RetryDecision(slowAttempt.id(), slowAttempt.upstream(),
					RetryDecision.Kind.HEDGE, true, Optional.empty(), next)));
			send(next.get(), nowNanos, actions);
		}
	}

	private boolean mayHedge() {
		return !this.hedged && this.openAttempts.size() == 1 && this.winner.isEmpty() && !this.relay.started();
	}

	private void expire(Consumer<EntryAction> actions) {
		this.openAttempts.all().forEach((attempt) -> cancel(attempt, ErrorCode.DEADLINE_EXCEEDED, actions));
		endWithError(ErrorCode.DEADLINE_EXCEEDED, 0, actions);
	}

	private void abandon(Consumer<EntryAction> actions) {
		this.openAttempts.all().forEach((attempt) -> cancel(attempt, ErrorCode.CANCELLED, actions));
		this.verdict = Optional.of(this.openAttempts.verdictOf(ErrorCode.CANCELLED));
	}

	private void cancel(OpenAttempt attempt, ErrorCode code, Consumer<EntryAction> actions) {
		this.openAttempts.end(attempt, Verdict.ofMayHaveRun(code));
		actions.accept(attempt.cancel());
	}

	private void endWithError(ErrorCode code, long retryAfterMillis, Consumer<EntryAction> actions) {
		Verdict finalVerdict = this.openAttempts.verdictOf(code);
		this.verdict = Optional.of(finalVerdict);
		if (this.relay.started()) {
			actions.accept(new EntryAction.AbortStream(finalVerdict));
			return;
		}
		long retryAfter = Math.max(retryAfterMillis, this.policy.retryAfter().toMillis());
		actions.accept(new EntryAction.Reject(finalVerdict, RetryRules.suggestsRetryAfter(code) ? retryAfter : 0));
	}

}
