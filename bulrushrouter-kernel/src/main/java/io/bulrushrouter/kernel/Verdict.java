package io.bulrushrouter.kernel;

import java.util.Optional;

/**
 * The outcome of a request: answered, certainly not run, or possibly run.
 *
 * <pre>{@code
 * Verdict verdict = Verdict.ofNotRun(ErrorCode.DRAINING);
 * verdict.mayHaveRun(); // false
 * }</pre>
 */
public sealed interface Verdict {

	/**
	 * Returns the verdict of a request that was answered completely.
	 * @return the verdict
	 */
	static Verdict ofAnswered() {
		return Answered.INSTANCE;
	}

	/**
	 * Returns the verdict of a request that certainly did not run.
	 * @param code why it did not run
	 * @return the verdict
	 */
	static Verdict ofNotRun(ErrorCode code) {
		return new NotRun(code);
	}

	/**
	 * Returns the verdict of a request that may have run.
	 * @param code why this is unknown, or why the answer is incomplete
	 * @return the verdict
	 */
	static Verdict ofMayHaveRun(ErrorCode code) {
		return new MayHaveRun(code);
	}

	/**
	 * Returns whether the request may have run.
	 * @return {@code false} only if it certainly did not run
	 */
	default boolean mayHaveRun() {
		return !(this instanceof NotRun);
	}

	/**
	 * Returns why the request was not answered completely.
	 * @return the code; empty if the request was answered
	 */
	default Optional<ErrorCode> failure() {
		if (this instanceof NotRun notRun) {
			return Optional.of(notRun.code());
		}
		if (this instanceof MayHaveRun mayHaveRun) {
			return Optional.of(mayHaveRun.code());
		}
		return Optional.empty();
	}

	/**
	 * Returns the verdict as text for headers and logs.
	 * @return {@code answered}, {@code not-run} or {@code may-have-run}
	 */
	default String text() {
		if (this instanceof Answered) {
			return "answered";
		}
		return mayHaveRun() ? "may-have-run" : "not-run";
	}

	/**
	 * The request was answered completely.
	 */
	enum Answered implements Verdict {

		/** The only value. */
		INSTANCE

	}

	/**
	 * The request certainly did not run.
	 *
	 * @param code why it did not run
	 */
	record NotRun(ErrorCode code) implements Verdict {
	}

	/**
	 * The request may have run.
	 *
	 * @param code why this is unknown, or why the answer is incomplete
	 */
	record MayHaveRun(ErrorCode code) implements Verdict {
	}

}
