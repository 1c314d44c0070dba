package io.bulrushrouter.request;

import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import io.bulrushrouter.kernel.AttemptId;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.RequestId;
import io.bulrushrouter.kernel.UpstreamId;
import io.bulrushrouter.kernel.Verdict;

/**
 * One request at the entry, from its arrival to its one final answer. It has no clock and
 * does no I/O: it is told what happened and says what to do. Not thread-safe.
 *
 * <pre>{@code
 * EntryCall call = EntryCall.of(id, spec, deadline, EntryPolicy.ofDefaults(), budget, picker);
 * call.on(new EntryEvent.Start(), now, actions::add);
 * }</pre>
 */
public final class EntryCall {

	private final RequestId id;

	private final RequestSpec spec;

	private final long deadlineNanos;

	private final EntryPolicy policy;

	private final RetryBudget budget;

	private final UpstreamPicker picker;

	private final Guards guards;

	private final AnswerRelay relay;

	private final Map<Integer, OpenAttempt> open = new LinkedHashMap<>();

	private final Set<UpstreamId> tried = new HashSet<>();

	private Optional<OpenAttempt> winner = Optional.empty();

	private Optional<Verdict> verdict = Optional.empty();

	private Optional<ErrorCode> uncertain = Optional.empty();

	private boolean hedged;

	private boolean reruns;

	private int attempts;

	private long dropped;

	private EntryCall(RequestId id, RequestSpec spec, long deadlineNanos, EntryPolicy policy, RetryBudget budget,
			UpstreamPicker picker, Guards guards) {
		this.id = Objects.requireNonNull(id);
		this.spec = Objects.requireNonNull(spec);
		this.deadlineNanos = deadlineNanos;
		this.policy = Objects.requireNonNull(policy);
		this.budget = Objects.requireNonNull(budget);
		this.picker = Objects.requireNonNull(picker);
		this.guards = guards;
		this.relay = new AnswerRelay(spec.stream(), policy.maxKeptBytes());
		this.reruns = !policy.resumesStreams();
	}

	/**
	 * Returns a request that has not started.
	 * @param id the request's identifier
	 * @param spec what is asked for
	 * @param deadlineNanos when the caller needs its final answer at the latest
	 * @param policy the rules of attempts
	 * @param budget the entry's budget for further attempts
	 * @param picker chooses upstreams
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
	 * Returns what became of the request.
	 * @return the verdict, or empty while it is open
	 */
	public Optional<Verdict> verdict() {
		return this.verdict;
	}

	/**
	 * Returns how many attempts were sent.
	 * @return the count
	 */
	public int attempts() {
		return this.attempts;
	}

	/**
	 * Returns how many messages were dropped as late, repeated or foreign.
	 * @return the count
	 */
	public long dropped() {
		return this.dropped;
	}

	/**
	 * Returns when the next {@link EntryEvent.Tick} is due.
	 * @return the time, or {@link Long#MAX_VALUE} once the request is over
	 */
	public long nextWakeNanos() {
		if (this.verdict.isPresent()) {
			return Long.MAX_VALUE;
		}
		long next = this.deadlineNanos;
		for (OpenAttempt attempt : this.open.values()) {
			if (!attempt.answering() && !attempt.cancelled()) {
				next = Math.min(next, settleNanos());
			}
			if (canStall(attempt)) {
				next = Math.min(next, stallNanos(attempt));
			}
			if (canHedge()) {
				next = Math.min(next, hedgeNanos(attempt));
			}
		}
		return next;
	}

	/**
	 * Handles an event.
	 * @param event what happened
	 * @param nowNanos the time
	 * @param actions takes what to do, in order
	 */
	public void on(EntryEvent event, long nowNanos, Consumer<EntryAction> actions) {
		if (this.verdict.isPresent()) {
			countDropped(event);
			return;
		}
		if (event instanceof EntryEvent.CallerGone) {
			abandon(actions);
		}
		else if (nowNanos >= this.deadlineNanos) {
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
			Optional.ofNullable(this.open.get(sent.attempt()))
				.ifPresent((attempt) -> attempt.bind(sent.upstreamIncarnation()));
		}
		else if (event instanceof EntryEvent.Received received) {
			receive(received, nowNanos, actions);
		}
		else if (event instanceof EntryEvent.ConnectionLost lost) {
			loseConnection(lost.upstream(), nowNanos, actions);
		}
		else if (event instanceof EntryEvent.SendFailed failed) {
			Optional.ofNullable(this.open.get(failed.attempt()))
				.ifPresent((attempt) -> fail(attempt, Verdict.ofNotRun(ErrorCode.ENGINE_UNREACHABLE), 0, nowNanos,
						actions));
		}
		else {
			tick(nowNanos, actions);
		}
	}

	private void start(long nowNanos, Consumer<EntryAction> actions) {
		this.budget.deposit();
		Optional<UpstreamId> upstream = this.picker.pick(Set.copyOf(this.tried), nowNanos);
		if (upstream.isEmpty()) {
			giveUp(ErrorCode.NO_UPSTREAM, 0, actions);
			return;
		}
		send(upstream.get(), nowNanos, actions);
	}

	private void send(UpstreamId upstream, long nowNanos, Consumer<EntryAction> actions) {
		this.attempts++;
		this.tried.add(upstream);
		int resumeAfter = (this.relay.started() && !this.reruns) ? this.relay.sentTokens() : 0;
		AttemptId attempt = this.id.attempt(this.attempts);
		this.open.put(this.attempts, new OpenAttempt(attempt, upstream, resumeAfter, nowNanos));
		long remainingMillis = Duration.ofNanos(this.deadlineNanos - nowNanos).toMillis();
		actions.accept(
				new EntryAction.Send(upstream, new CallMessage.Call(attempt, this.spec, remainingMillis, resumeAfter)));
	}

	private void receive(EntryEvent.Received received, long nowNanos, Consumer<EntryAction> actions) {
		OpenAttempt attempt = this.open.get(received.message().attempt().attempt());
		if (attempt == null || !isMine(received, attempt)) {
			this.dropped++;
			return;
		}
		attempt.bind(received.upstreamIncarnation());
		CallMessage message = received.message();
		if (message instanceof CallMessage.NotRun notRun) {
			handBack(attempt, notRun, nowNanos, actions);
		}
		else if (message instanceof CallMessage.Failed failed) {
			fail(attempt, Verdict.ofMayHaveRun(failed.code()), 0, nowNanos, actions);
		}
		else {
			keepPart(attempt, message, nowNanos, actions);
		}
	}

	private boolean isMine(EntryEvent.Received received, OpenAttempt attempt) {
		if (!this.guards.incarnation()) {
			return true;
		}
		return received.message().attempt().equals(attempt.id()) && received.upstream().equals(attempt.upstream())
				&& attempt.isBoundTo(received.upstreamIncarnation());
	}

	private void handBack(OpenAttempt attempt, CallMessage.NotRun notRun, long nowNanos,
			Consumer<EntryAction> actions) {
		if (attempt.answering()) {
			this.dropped++;
			return;
		}
		fail(attempt, Verdict.ofNotRun(notRun.code()), notRun.retryAfterMillis(), nowNanos, actions);
	}

	private void keepPart(OpenAttempt attempt, CallMessage message, long nowNanos, Consumer<EntryAction> actions) {
		if (!attempt.keep(sequenceOf(message), message)) {
			this.dropped++;
			return;
		}
		Optional<CallMessage> part = attempt.next(nowNanos);
		while (part.isPresent() && this.open.containsKey(attempt.id().attempt())) {
			accept(attempt, part.get(), nowNanos, actions);
			part = attempt.next(nowNanos);
		}
	}

	private static int sequenceOf(CallMessage message) {
		if (message instanceof CallMessage.Head head) {
			return head.sequence();
		}
		if (message instanceof CallMessage.Data data) {
			return data.sequence();
		}
		return (message instanceof CallMessage.End end) ? end.sequence() : -1;
	}

	private void accept(OpenAttempt attempt, CallMessage part, long nowNanos, Consumer<EntryAction> actions) {
		boolean sound;
		if (part instanceof CallMessage.Head head) {
			win(attempt, actions);
			sound = this.relay.head(head, attempt.resumeAfterTokens() > 0, actions);
		}
		else if (part instanceof CallMessage.Data data) {
			sound = this.relay.data(data.bytes(), attempt.tokens(), actions);
		}
		else {
			sound = end(attempt, (CallMessage.End) part, actions);
		}
		if (!sound) {
			breakOff(attempt, nowNanos, actions);
		}
	}

	private void win(OpenAttempt attempt, Consumer<EntryAction> actions) {
		this.winner = Optional.of(attempt);
		for (OpenAttempt other : List.copyOf(this.open.values())) {
			if (other != attempt) {
				drop(other, ErrorCode.CANCELLED, actions);
			}
		}
	}

	private boolean end(OpenAttempt attempt, CallMessage.End end, Consumer<EntryAction> actions) {
		if (end.totalBytes() != attempt.bytes() || !this.relay.end(actions)) {
			return false;
		}
		this.open.clear();
		this.verdict = Optional.of(Verdict.ofAnswered());
		return true;
	}

	// Ends a request whose answer contradicts itself or what was sent before.
	private void breakOff(OpenAttempt attempt, long nowNanos, Consumer<EntryAction> actions) {
		if (this.relay.started()) {
			drop(attempt, ErrorCode.STREAM_BROKEN, actions);
			giveUp(ErrorCode.STREAM_BROKEN, 0, actions);
			return;
		}
		fail(attempt, Verdict.ofMayHaveRun(ErrorCode.STREAM_BROKEN), 0, nowNanos, actions);
	}

	private void loseConnection(UpstreamId upstream, long nowNanos, Consumer<EntryAction> actions) {
		for (OpenAttempt attempt : List.copyOf(this.open.values())) {
			if (attempt.upstream().equals(upstream)) {
				fail(attempt, Verdict.ofMayHaveRun(ErrorCode.CONNECTION_LOST), 0, nowNanos, actions);
			}
		}
	}

	private void fail(OpenAttempt attempt, Verdict outcome, long retryAfterMillis, long nowNanos,
			Consumer<EntryAction> actions) {
		this.open.remove(attempt.id().attempt());
		if (outcome.mayHaveRun()) {
			this.uncertain = outcome.failure();
		}
		if (this.winner.filter((held) -> held == attempt).isPresent()) {
			this.winner = Optional.empty();
			this.relay.discardHeld();
		}
		ErrorCode code = outcome.failure().orElseThrow();
		if (attempt.cancelled()) {
			settle(code, actions);
		}
		else if (this.open.isEmpty()) {
			goOn(attempt, outcome, retryAfterMillis, nowNanos, actions);
		}
	}

	// Ends a request whose attempt was cancelled shortly before the deadline.
	private void settle(ErrorCode code, Consumer<EntryAction> actions) {
		if (this.open.isEmpty()) {
			giveUp((code == ErrorCode.CANCELLED) ? ErrorCode.DEADLINE_EXCEEDED : code, 0, actions);
		}
	}

	private void goOn(OpenAttempt attempt, Verdict outcome, long retryAfterMillis, long nowNanos,
			Consumer<EntryAction> actions) {
		ErrorCode code = outcome.failure().orElseThrow();
		boolean refusedResume = attempt.resumeAfterTokens() > 0 && code == ErrorCode.STREAM_BROKEN;
		this.reruns |= refusedResume;
		boolean possible = RetryRules.allows(outcome, this.spec.idempotent()) && mayTryAgain(nowNanos)
				&& (!this.reruns || this.relay.canRerun());
		Optional<UpstreamId> next = possible ? this.picker.pick(Set.copyOf(this.tried), nowNanos) : Optional.empty();
		boolean paid = next.isPresent() && (!RetryRules.takesBudget(outcome) || this.budget.tryTake());
		RetryDecision.Kind kind = paid ? retryKind() : RetryDecision.Kind.GIVE_UP;
		actions.accept(new EntryAction.Decided(new RetryDecision(attempt.id(), attempt.upstream(), kind,
				outcome.mayHaveRun(), Optional.of(code), paid ? next : Optional.empty())));
		if (paid) {
			send(next.get(), nowNanos, actions);
			return;
		}
		boolean spent = possible && next.isPresent();
		giveUp((spent && !outcome.mayHaveRun()) ? ErrorCode.RETRY_BUDGET_SPENT : code, retryAfterMillis, actions);
	}

	private RetryDecision.Kind retryKind() {
		return (this.relay.started()) ? RetryDecision.Kind.RESUME : RetryDecision.Kind.RETRY;
	}

	private boolean mayTryAgain(long nowNanos) {
		return this.attempts < this.policy.maxAttempts()
				&& this.deadlineNanos - nowNanos >= this.policy.minRemaining().toNanos();
	}

	private void tick(long nowNanos, Consumer<EntryAction> actions) {
		for (OpenAttempt attempt : List.copyOf(this.open.values())) {
			if (canStall(attempt) && nowNanos >= stallNanos(attempt)) {
				actions.accept(cancel(attempt));
				fail(attempt, Verdict.ofMayHaveRun(ErrorCode.STREAM_BROKEN), 0, nowNanos, actions);
			}
			else if (!attempt.answering() && !attempt.cancelled() && nowNanos >= settleNanos()) {
				attempt.markCancelled();
				actions.accept(cancel(attempt));
			}
			else if (canHedge() && nowNanos >= hedgeNanos(attempt)) {
				hedge(attempt, nowNanos, actions);
			}
		}
	}

	private void hedge(OpenAttempt slow, long nowNanos, Consumer<EntryAction> actions) {
		this.hedged = true;
		Optional<UpstreamId> next = mayTryAgain(nowNanos) ? this.picker.pick(Set.copyOf(this.tried), nowNanos)
				: Optional.empty();
		if (next.isPresent() && this.budget.tryTake()) {
			actions.accept(new EntryAction.Decided(new RetryDecision(slow.id(), slow.upstream(),
					RetryDecision.Kind.HEDGE, true, Optional.empty(), next)));
			send(next.get(), nowNanos, actions);
		}
	}

	private boolean canHedge() {
		return this.spec.idempotent() && this.policy.hedgeAfter().isPresent() && !this.hedged && this.open.size() == 1
				&& this.winner.isEmpty() && !this.relay.started();
	}

	private boolean canStall(OpenAttempt attempt) {
		return this.spec.idempotent() && attempt.answering();
	}

	private long hedgeNanos(OpenAttempt attempt) {
		return attempt.sentNanos() + this.policy.hedgeAfter().orElseThrow().toNanos();
	}

	private long stallNanos(OpenAttempt attempt) {
		return attempt.heardNanos() + this.policy.stallAfter().toNanos();
	}

	private long settleNanos() {
		return this.deadlineNanos - this.policy.settleBefore().toNanos();
	}

	private void expire(Consumer<EntryAction> actions) {
		List.copyOf(this.open.values()).forEach((attempt) -> drop(attempt, ErrorCode.DEADLINE_EXCEEDED, actions));
		giveUp(ErrorCode.DEADLINE_EXCEEDED, 0, actions);
	}

	private void abandon(Consumer<EntryAction> actions) {
		List.copyOf(this.open.values()).forEach((attempt) -> drop(attempt, ErrorCode.CANCELLED, actions));
		this.verdict = Optional.of(verdictOf(ErrorCode.CANCELLED));
	}

	private void drop(OpenAttempt attempt, ErrorCode code, Consumer<EntryAction> actions) {
		this.open.remove(attempt.id().attempt());
		this.uncertain = Optional.of(code);
		actions.accept(cancel(attempt));
	}

	private static EntryAction cancel(OpenAttempt attempt) {
		return new EntryAction.SendCancel(attempt.upstream(), new CallMessage.Cancel(attempt.id()));
	}

	private Verdict verdictOf(ErrorCode code) {
		if (this.uncertain.isEmpty()) {
			return Verdict.ofNotRun(code);
		}
		return Verdict.ofMayHaveRun((code == ErrorCode.DEADLINE_EXCEEDED) ? code : this.uncertain.get());
	}

	private void giveUp(ErrorCode code, long retryAfterMillis, Consumer<EntryAction> actions) {
		Verdict last = verdictOf(code);
		this.verdict = Optional.of(last);
		if (this.relay.started()) {
			actions.accept(new EntryAction.BreakStream(last));
			return;
		}
		long retryAfter = Math.max(retryAfterMillis, this.policy.retryAfter().toMillis());
		actions.accept(new EntryAction.Reject(last, RetryRules.worthComingBack(code) ? retryAfter : 0));
	}

	private void countDropped(EntryEvent event) {
		if (event instanceof EntryEvent.Received) {
			this.dropped++;
		}
	}

}
