package io.bulrushrouter.request;

import java.util.Objects;

import io.bulrushrouter.kernel.AttemptId;
import io.bulrushrouter.kernel.ErrorCode;

/**
 * What entries and sidecars say to each other about one attempt. Answers carry a sequence
 * number from 0, so that a lost, repeated or reordered one shows.
 */
public sealed interface CallMessage {

	/**
	 * Returns the attempt that the message is about.
	 * @return the attempt
	 */
	AttemptId attempt();

	/**
	 * Entry to sidecar: run this.
	 *
	 * @param attempt the attempt
	 * @param spec what to run
	 * @param remainingMillis the time left until the deadline, in milliseconds
	 * @param resumeAfterTokens how many tokens of the same answer the caller already has;
	 * 0 for a whole answer
	 */
	record Call(AttemptId attempt, RequestSpec spec, long remainingMillis,
			int resumeAfterTokens) implements CallMessage {

		/**
		 * Checks the parts.
		 */
		public Call {
			Objects.requireNonNull(attempt);
			Objects.requireNonNull(spec);
		}

	}

	/**
	 * Entry to sidecar: stop this.
	 *
	 * @param attempt the attempt
	 */
	record Cancel(AttemptId attempt) implements CallMessage {
	}

	/**
	 * Sidecar to entry: the upstream's status came; from here on the request ran.
	 *
	 * @param attempt the attempt
	 * @param sequence 0
	 * @param status the HTTP status
	 * @param contentType the HTTP content type
	 * @param modelVersion the version that answers; empty if the engine does not tell
	 */
	record Head(AttemptId attempt, int sequence, int status, String contentType,
			String modelVersion) implements CallMessage {

		/**
		 * Creates the head of an answer by an engine that does not tell its version.
		 * @param attempt the attempt
		 * @param sequence 0
		 * @param status the HTTP status
		 * @param contentType the HTTP content type
		 */
		public Head(AttemptId attempt, int sequence, int status, String contentType) {
			this(attempt, sequence, status, contentType, "");
		}

	}

	/**
	 * Sidecar to entry: a part of the answer. In a stream it holds whole events.
	 *
	 * @param attempt the attempt
	 * @param sequence one more than the message before
	 * @param bytes the part
	 * @param tokens the generated tokens in it
	 */
	record Data(AttemptId attempt, int sequence, byte[] bytes, int tokens) implements CallMessage {
	}

	/**
	 * Sidecar to entry: the answer is whole.
	 *
	 * @param attempt the attempt
	 * @param sequence one more than the message before
	 * @param totalBytes the answer's length over all parts
	 */
	record End(AttemptId attempt, int sequence, long totalBytes) implements CallMessage {
	}

	/**
	 * Sidecar to entry: the request did not run and will not.
	 *
	 * @param attempt the attempt
	 * @param code why
	 * @param retryAfterMillis when to come back, in milliseconds; 0 if at once
	 */
	record NotRun(AttemptId attempt, ErrorCode code, long retryAfterMillis) implements CallMessage {
	}

	/**
	 * Sidecar to entry: the request may have run and there will be no more of its answer.
	 *
	 * @param attempt the attempt
	 * @param code why
	 */
	record Failed(AttemptId attempt, ErrorCode code) implements CallMessage {
	}

}
