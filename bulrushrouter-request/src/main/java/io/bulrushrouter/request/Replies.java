package io.bulrushrouter.request;

import java.util.Optional;
import java.util.function.Consumer;

import io.bulrushrouter.kernel.AttemptId;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.request.SidecarAction.Decision;

/**
 * Sends a sidecar's final reply to an attempt and logs the decision.
 */
final class Replies {

	private final RunTable runs;

	Replies(RunTable runs) {
		this.runs = runs;
	}

	void notRun(EngineRun.Waiter waiter, ErrorCode code, long retryAfterMillis, Consumer<SidecarAction> actions) {
		this.runs.markEnded(waiter.attempt(), RunTable.EndState.SETTLED);
		logDecision(waiter.attempt(), Decision.NOT_RUN, Optional.of(code), actions);
		actions.accept(waiter.reply(new CallMessage.NotRun(waiter.attempt(), code, retryAfterMillis)));
	}

	void failed(EngineRun.Waiter waiter, ErrorCode code, Consumer<SidecarAction> actions) {
		this.runs.markEnded(waiter.attempt(), RunTable.EndState.SETTLED);
		logDecision(waiter.attempt(), Decision.FAILED, Optional.of(code), actions);
		actions.accept(waiter.reply(new CallMessage.Failed(waiter.attempt(), code)));
	}

	void replay(EngineRun.Waiter waiter, ResponseCache.Response response, Consumer<SidecarAction> actions) {
		this.runs.markEnded(waiter.attempt(), RunTable.EndState.SETTLED);
		logDecision(waiter.attempt(), Decision.REPLAYED, actions);
		actions.accept(waiter.head(response.head()));
		response.parts().forEach((part) -> actions.accept(waiter.data(part)));
		actions.accept(waiter.end());
	}

	void logDecision(AttemptId attempt, Decision decision, Consumer<SidecarAction> actions) {
		logDecision(attempt, decision, Optional.empty(), actions);
	}

	private static void logDecision(AttemptId attempt, Decision decision, Optional<ErrorCode> code,
			Consumer<SidecarAction> actions) {
		actions.accept(new SidecarAction.LogDecision(attempt, decision, code));
	}

}
