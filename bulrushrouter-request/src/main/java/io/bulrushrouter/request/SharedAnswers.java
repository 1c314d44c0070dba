package io.bulrushrouter.request;

import java.util.Optional;
import java.util.function.Consumer;

import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.request.SidecarAction.Decision;

/**
 * Answers attempts without a run of their own: from kept answers, by joining an equal
 * read that runs, or by a refusal of a key that was used.
 */
final class SharedAnswers {

	private final RunTable runs;

	private final KeptAnswers kept;

	private final Replies replies;

	private final Guards guards;

	SharedAnswers(RunTable runs, KeptAnswers kept, Replies replies, Guards guards) {
		this.runs = runs;
		this.kept = kept;
		this.replies = replies;
		this.guards = guards;
	}

	boolean answer(EngineRun.Waiter waiter, CallMessage.Call call, Consumer<SidecarAction> actions) {
		if (!call.spec().idempotent()) {
			return answerRepeat(waiter, call.spec(), actions);
		}
		if (!RunTable.isRead(call.spec()) || call.resumeAfterTokens() > 0) {
			return false;
		}
		Optional<AnswerCache.Answer> answer = this.kept.ofRead(call.spec());
		if (answer.isPresent()) {
			this.replies.replay(waiter, answer.get(), actions);
			return true;
		}
		Optional<EngineRun> equal = this.runs.equalRead(call.spec());
		equal.ifPresent((run) -> join(waiter, run, actions));
		return equal.isPresent();
	}

	private boolean answerRepeat(EngineRun.Waiter waiter, RequestSpec spec, Consumer<SidecarAction> actions) {
		RunTable.ClaimKey key = RunTable.ClaimKey.of(waiter.attempt(), spec);
		Optional<AnswerCache.Answer> answer = this.kept.ofKey(key);
		Optional<EngineRun> running = this.runs.ofKey(key);
		if (!this.guards.claim() || (answer.isEmpty() && running.isEmpty())) {
			return false;
		}
		long digest = answer.map(AnswerCache.Answer::digest).orElseGet(() -> running.get().spec().digest());
		if (digest != spec.digest()) {
			this.replies.notRun(waiter, ErrorCode.KEY_REUSED, 0, actions);
		}
		else if (answer.isPresent()) {
			this.replies.replay(waiter, answer.get(), actions);
		}
		else {
			this.replies.failed(waiter, ErrorCode.IN_FLIGHT, actions);
		}
		return true;
	}

	private void join(EngineRun.Waiter waiter, EngineRun run, Consumer<SidecarAction> actions) {
		this.runs.join(run, waiter);
		this.replies.note(waiter.attempt(), Decision.JOINED, actions);
		run.head().ifPresent((head) -> {
			actions.accept(waiter.head(head));
			run.parts().forEach((part) -> actions.accept(waiter.data(part)));
		});
	}

}
