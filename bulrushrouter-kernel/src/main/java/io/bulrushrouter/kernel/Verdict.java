package io.bulrushrouter.kernel;

import java.util.Optional;

/**
 * What became of a request, and whether it may have run.
 *
 * <pre>{@code
 * Verdict verdict = Verdict.ofNotRun(ErrorCode.DRAINING);
 * verdict.mayHaveRun(); // false
 * }</pre>
 */
public sealed interface Verdict {

	/**
	 * Returns the verdict of a request that was answered whole.
	 * @return the verdict
	 */
	static Verdict ofAnswered() {
		return Answered.INSTANCE;
	}

	/**
	 * Returns the verdict of a request that certainly did not run.
	 * @param code why
	 * @return the verdict
	 */
	static Verdict ofNotRun(ErrorCode code) {
		return new NotRun(code);
	}

	/**
	 * Returns the verdict of a request that may have run.
	 * @param code why this is not known, or why its answer is not whole
	 * @return the verdict
	 */
	static Verdict ofMayHaveRun(ErrorCode code) {
		return new MayHaveRun(code);
	}

	/**
	 * Tells whether the request may have run.
	 * @return false only if it certainly did not run
	 */
	default boolean mayHaveRun() {
		return !(this instanceof NotRun);
	}

	/**
	 * Returns why the request was not answered.
	 * @return the code, or empty if the request was answered
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
	 * Returns the verdict's text in headers and logs.
	 * @return {@code answered}, {@code not-run} or {@code may-have-run}
	 */
	default String text() {
		if (this instanceof Answered) {
			return "answered";
		}
		return mayHaveRun() ? "may-have-run" : "not-run";
	}

	/**
	 * The request was answered whole.
	 */
	enum Answered implements Verdict {

		/** The only value. */
		INSTANCE

	}

	/**
	 * The request certainly did not run.
	 *
	 * @param code why
	 */
	record NotRun(ErrorCode code) implements Verdict {
	}

	/**
	 * The request may have run.
	 *
	 * @param code why this is not known, or why its answer is not whole
	 */
	record MayHaveRun(ErrorCode code) implements Verdict {
	}

}
