package io.bulrushrouter.request;

import java.util.Objects;

import io.bulrushrouter.kernel.AttemptId;
import io.bulrushrouter.kernel.ErrorCode;

/**
 * A message between an entry and a sidecar about one attempt. The parts of a response
 * carry sequence numbers from 0, so that lost, repeated and reordered parts are detected.
 */
public sealed interface CallMessage {

	/**
	 * Returns the attempt that the message refers to.
	 * @return the attempt
	 */
	AttemptId attempt();

	/**
	 * Entry to sidecar: run the request.
	 *
	 * @param attempt the attempt
	 * @param spec the request
	 * @param remainingMillis the time left until the deadline, in milliseconds
	 * @param resumeAfterTokens the number of tokens of the same response that the caller
	 * already has; 0 for a complete response
	 */
	record Call(AttemptId attempt, RequestSpec spec, long remainingMillis,
			int resumeAfterTokens) implements CallMessage {

		/**
		 * Validates the components.
		 */
		public Call {
			Objects.requireNonNull(attempt);
			Objects.requireNonNull(spec);
		}

	}

	/**
	 * Entry to sidecar: cancel the attempt.
	 *
	 * @param attempt the attempt
	 */
	record Cancel(AttemptId attempt) implements CallMessage {
	}

	/**
	 * Sidecar to entry: the head of the response; from here on the request has run.
	 *
	 * @param attempt the attempt
	 * @param sequence 0
	 * @param status the HTTP status
	 * @param contentType the HTTP content type
	 * @param modelVersion the model version that generates the response; empty if the
	 * engine does not report it
	 */
	record Head(AttemptId attempt, int sequence, int status, String contentType,
			String modelVersion) implements CallMessage {

		/**
		 * Creates the head of a response from an engine that does not report its model
		 * version.
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
	 * Sidecar to entry: a part of the response body. In a stream it consists of whole
	 * events.
	 *
	 * @param attempt the attempt
	 * @param sequence one more than the message before
	 * @param bytes the part
	 * @param tokens the number of generated tokens in the part
	 */
	record Data(AttemptId attempt, int sequence, byte[] bytes, int tokens) implements CallMessage {
	}

	/**
	 * Sidecar to entry: the response is complete.
	 *
	 * @param attempt the attempt
	 * @param sequence one more than the message before
	 * @param totalBytes the length of the response body over all parts
	 */
	record End(AttemptId attempt, int sequence, long totalBytes) implements CallMessage {
	}

	/**
	 * Sidecar to entry: the request did not run and will not run.
	 *
	 * @param attempt the attempt
	 * @param code the error
	 * @param retryAfterMillis when to retry, in milliseconds; 0 if there is no need to
	 * wait
	 */
	record NotRun(AttemptId attempt, ErrorCode code, long retryAfterMillis) implements CallMessage {
	}

	/**
	 * Sidecar to entry: the request may have run and no more of its response follows.
	 *
	 * @param attempt the attempt
	 * @param code the error
	 */
	record Failed(AttemptId attempt, ErrorCode code) implements CallMessage {
	}

}
