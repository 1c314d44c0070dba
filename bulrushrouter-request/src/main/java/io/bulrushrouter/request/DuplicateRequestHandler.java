package io.bulrushrouter.request;

import java.util.Optional;
import java.util.function.Consumer;

import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.request.SidecarAction.Decision;

/**
 * Answers attempts that need no run of their own: from cached responses, by joining an
 * equal read in flight, or by rejecting an idempotency key that is already in use.
 */
final class DuplicateRequestHandler {

	private final RunTable runs;

	private final CachedResponses cachedResponses;

	private final Replies replies;

	private final Guards guards;

	DuplicateRequestHandler(RunTable runs, CachedResponses cachedResponses, Replies replies, Guards guards) {
		this.runs = runs;
		this.cachedResponses = cachedResponses;
		this.replies = replies;
		this.guards = guards;
	}

	boolean tryAnswer(EngineRun.Waiter waiter, CallMessage.Call call, Consumer<SidecarAction> actions) {
		if (!call.spec().idempotent()) {
			return tryAnswerRepeatedKey(waiter, call.spec(), actions);
		}
		if (!RunTable.isCacheableRead(call.spec()) || call.resumeAfterTokens() > 0) {
			return false;
		}
		Optional<ResponseCache.Response> response = this.cachedResponses.findRead(call.spec());
		if (response.isPresent()) {
			this.replies.replay(waiter, response.get(), actions);
			return true;
		}
		Optional<EngineRun> equalRun = this.runs.findEqualRead(call.spec());
		equalRun.ifPresent((run) -> join(waiter, run, actions));
		return equalRun.isPresent();
	}

	private boolean tryAnswerRepeatedKey(EngineRun.Waiter waiter, RequestSpec spec, Consumer<SidecarAction> actions) {
		RunTable.ClaimKey key = RunTable.ClaimKey.of(waiter.attempt(), spec);
		Optional<ResponseCache.Response> response = this.cachedResponses.findByKey(key);
		Optional<EngineRun> running = this.runs.findByKey(key);
		if (!this.guards.claim() || (response.isEmpty() && running.isEmpty())) {
			return false;
		}
		long digest = response.map(ResponseCache.Response::digest).orElseGet(() -> running.get().spec().digest());
		if (digest != spec.digest()) {
			this.replies.notRun(waiter, ErrorCode.KEY_REUSED, 0, actions);
		}
		else if (response.isPresent()) {
			this.replies.replay(waiter, response.get(), actions);
		}
		else {
			this.replies.failed(waiter, ErrorCode.IN_FLIGHT, actions);
		}
		return true;
	}

	private void join(EngineRun.Waiter waiter, EngineRun run, Consumer<SidecarAction> actions) {
		this.runs.join(run, waiter);
		this.replies.logDecision(waiter.attempt(), Decision.JOINED, actions);
		run.head().ifPresent((head) -> {
			actions.accept(waiter.head(head));
			run.parts().forEach((part) -> actions.accept(waiter.data(part)));
		});
	}

}
