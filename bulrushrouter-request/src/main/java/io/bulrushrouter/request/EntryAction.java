package io.bulrushrouter.request;

import io.bulrushrouter.kernel.UpstreamId;
import io.bulrushrouter.kernel.Verdict;

/**
 * An action that the entry has to perform for one request.
 */
public sealed interface EntryAction {

	/**
	 * Send an attempt to a sidecar. It must be sent on one connection only, never again
	 * on another.
	 *
	 * @param upstream the sidecar's upstream
	 * @param call the message that starts the attempt
	 */
	record Send(UpstreamId upstream, CallMessage.Call call) implements EntryAction {
	}

	/**
	 * Cancel an attempt at a sidecar.
	 *
	 * @param upstream the sidecar's upstream
	 * @param cancel the message that cancels the attempt
	 */
	record SendCancel(UpstreamId upstream, CallMessage.Cancel cancel) implements EntryAction {
	}

	/**
	 * Send the response's status and content type to the caller; the body follows.
	 *
	 * @param status the HTTP status
	 * @param contentType the HTTP content type
	 */
	record RelayHead(int status, String contentType) implements EntryAction {
	}

	/**
	 * Send a part of the response body to the caller.
	 *
	 * @param bytes the part of the body
	 */
	record RelayData(byte[] bytes) implements EntryAction {
	}

	/**
	 * End the response; it is complete.
	 */
	record Complete() implements EntryAction {
	}

	/**
	 * Reject the request; nothing of a response was sent to the caller.
	 *
	 * @param verdict whether the request may have run, and the error
	 * @param retryAfterMillis when the caller may retry, in milliseconds; 0 if a retry
	 * cannot succeed
	 */
	record Reject(Verdict verdict, long retryAfterMillis) implements EntryAction {
	}

	/**
	 * End the response with an explicit error, because a part of it was already sent to
	 * the caller.
	 *
	 * @param verdict why the response is incomplete
	 */
	record AbortStream(Verdict verdict) implements EntryAction {
	}

	/**
	 * Log a decision about a further attempt.
	 *
	 * @param decision the decision
	 */
	record LogDecision(RetryDecision decision) implements EntryAction {
	}

}
