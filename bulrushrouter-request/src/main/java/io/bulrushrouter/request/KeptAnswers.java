package io.bulrushrouter.request;

import java.util.Optional;

/**
 * The whole answers that a sidecar keeps: of repeatable reads, and of requests that may
 * run only once.
 */
final class KeptAnswers {

	private static final int OK = 200;

	private final AnswerCache<AnswerCache.ReadKey> reads;

	private final AnswerCache<RunTable.ClaimKey> claimed;

	KeptAnswers(long maxBytes) {
		this.reads = new AnswerCache<>(maxBytes / 2);
		this.claimed = new AnswerCache<>(maxBytes / 2);
	}

	Optional<AnswerCache.Answer> ofRead(RequestSpec spec) {
		return this.reads.find(AnswerCache.ReadKey.of(spec));
	}

	Optional<AnswerCache.Answer> ofKey(RunTable.ClaimKey key) {
		return this.claimed.find(key);
	}

	void forgetReads() {
		this.reads.clear();
	}

	void keep(EngineRun run) {
		run.answer().ifPresent((answer) -> keep(run, answer));
	}

	private void keep(EngineRun run, AnswerCache.Answer answer) {
		if (!run.spec().idempotent()) {
			this.claimed.keep(RunTable.ClaimKey.of(run.id(), run.spec()), answer);
		}
		else if (RunTable.isRead(run.spec()) && answer.head().status() == OK && !run.cancelled()) {
			this.reads.keep(AnswerCache.ReadKey.of(run.spec()), answer);
		}
	}

}
