package io.bulrushrouter.daemon.sidecar;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import io.bulrushrouter.kernel.AttemptId;
import io.bulrushrouter.request.CallKind;
import io.bulrushrouter.request.CallQueue;
import io.bulrushrouter.request.RequestSpec;
import io.bulrushrouter.routing.Dispatch;
import io.bulrushrouter.routing.FairQueue;
import io.bulrushrouter.routing.FairQueueSettings;
import io.bulrushrouter.routing.OfferResult;

/**
 * Orders a sidecar's attempts by weighted fair queueing over organisations.
 */
final class FairCallQueue implements CallQueue {

	/**
	 * The estimated output of a completion until its actual length is known, in tokens.
	 */
	private static final long ESTIMATED_OUTPUT_TOKENS = 64;

	private final FairQueue<QueuedCall> queue;

	private final Map<AttemptId, QueuedCall> waiting = new HashMap<>();

	private final Map<AttemptId, RunningCall> running = new HashMap<>();

	FairCallQueue(FairQueueSettings settings, long nowNanos) {
		this.queue = FairQueue.of(settings, nowNanos);
	}

	@Override
	public List<Refusal> offer(QueuedCall call, long nowNanos) {
		RequestSpec spec = call.spec();
		this.waiting.put(call.attempt(), call);
		OfferResult<QueuedCall> offer = this.queue.offer(call, spec.organisation(), spec.priority(), cost(spec),
				call.deadlineNanos(), nowNanos);
		return offer.shed().stream().map(this::refusal).toList();
	}

	private Refusal refusal(OfferResult.Shed<QueuedCall> shed) {
		this.waiting.remove(shed.item().attempt());
		long millis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(shed.retryAfterNanos()));
		return new Refusal(shed.item().attempt(), OptionalLong.of(millis));
	}

	private static long cost(RequestSpec spec) {
		return (spec.kind() == CallKind.SERVICE) ? 1 : spec.promptTokens() + ESTIMATED_OUTPUT_TOKENS;
	}

	@Override
	public Optional<QueuedCall> poll(long nowNanos) {
		Optional<Dispatch<QueuedCall>> next = this.queue.next(nowNanos);
		next.ifPresent((dispatch) -> {
			this.waiting.remove(dispatch.item().attempt());
			this.running.put(dispatch.item().attempt(), new RunningCall(dispatch));
		});
		return next.map(Dispatch::item);
	}

	@Override
	public void remove(AttemptId attempt) {
		Optional.ofNullable(this.waiting.remove(attempt)).ifPresent(this.queue::remove);
	}

	@Override
	public void served(AttemptId attempt, int tokens) {
		Optional.ofNullable(this.running.get(attempt)).ifPresent((run) -> run.tokens += tokens);
	}

	@Override
	public void finished(AttemptId attempt, long nowNanos) {
		Optional.ofNullable(this.running.remove(attempt))
			.ifPresent((run) -> this.queue.finished(run.dispatch, run.servedTokens(), nowNanos));
	}

	private static final class RunningCall {

		private final Dispatch<QueuedCall> dispatch;

		private long tokens;

		private RunningCall(Dispatch<QueuedCall> dispatch) {
			this.dispatch = dispatch;
		}

		private long servedTokens() {
			RequestSpec spec = this.dispatch.item().spec();
			return (spec.kind() == CallKind.SERVICE) ? 1 : spec.promptTokens() + this.tokens;
		}

	}

}
