package io.bulrushrouter.request;

import java.util.Optional;
import java.util.function.Consumer;

import io.bulrushrouter.kernel.AttemptId;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.request.SidecarAction.Decision;

/**
 * The final answers of a sidecar to an attempt, each with its line for the log.
 */
final class Replies {

	private final RunTable runs;

	Replies(RunTable runs) {
		this.runs = runs;
	}

	void notRun(EngineRun.Waiter waiter, ErrorCode code, long retryAfterMillis, Consumer<SidecarAction> actions) {
		this.runs.end(waiter.attempt(), RunTable.Ended.SETTLED);
		note(waiter.attempt(), Decision.NOT_RUN, Optional.of(code), actions);
		actions.accept(waiter.reply(new CallMessage.NotRun(waiter.attempt(), code, retryAfterMillis)));
	}

	void failed(EngineRun.Waiter waiter, ErrorCode code, Consumer<SidecarAction> actions) {
		this.runs.end(waiter.attempt(), RunTable.Ended.SETTLED);
		note(waiter.attempt(), Decision.FAILED, Optional.of(code), actions);
		actions.accept(waiter.reply(new CallMessage.Failed(waiter.attempt(), code)));
	}

	void replay(EngineRun.Waiter waiter, AnswerCache.Answer answer, Consumer<SidecarAction> actions) {
		this.runs.end(waiter.attempt(), RunTable.Ended.SETTLED);
		note(waiter.attempt(), Decision.REPLAYED, actions);
		actions.accept(waiter.head(answer.head()));
		answer.parts().forEach((part) -> actions.accept(waiter.data(part)));
		actions.accept(waiter.end());
	}

	void note(AttemptId attempt, Decision decision, Consumer<SidecarAction> actions) {
		note(attempt, decision, Optional.empty(), actions);
	}

	private static void note(AttemptId attempt, Decision decision, Optional<ErrorCode> code,
			Consumer<SidecarAction> actions) {
		actions.accept(new SidecarAction.Decided(attempt, decision, code));
	}

}
