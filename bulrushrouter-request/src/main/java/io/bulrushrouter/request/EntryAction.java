package io.bulrushrouter.request;

import io.bulrushrouter.kernel.UpstreamId;
import io.bulrushrouter.kernel.Verdict;

/**
 * What the entry has to do for one request.
 */
public sealed interface EntryAction {

	/**
	 * Send an attempt to a sidecar, on one connection and never again on another.
	 *
	 * @param upstream the sidecar's upstream
	 * @param call the attempt
	 */
	record Send(UpstreamId upstream, CallMessage.Call call) implements EntryAction {
	}

	/**
	 * Tell a sidecar to stop an attempt.
	 *
	 * @param upstream the sidecar's upstream
	 * @param cancel the attempt
	 */
	record SendCancel(UpstreamId upstream, CallMessage.Cancel cancel) implements EntryAction {
	}

	/**
	 * Answer the caller's request with this status; the body follows.
	 *
	 * @param status the HTTP status
	 * @param contentType the HTTP content type
	 */
	record RelayHead(int status, String contentType) implements EntryAction {
	}

	/**
	 * Pass a part of the body to the caller.
	 *
	 * @param bytes the part
	 */
	record RelayData(byte[] bytes) implements EntryAction {
	}

	/**
	 * End the answer cleanly: it is whole.
	 */
	record Complete() implements EntryAction {
	}

	/**
	 * Refuse the request; nothing of an answer went to the caller.
	 *
	 * @param verdict whether it may have run, and why there is no answer
	 * @param retryAfterMillis when to come back, in milliseconds; 0 if coming back is of
	 * no use
	 */
	record Reject(Verdict verdict, long retryAfterMillis) implements EntryAction {
	}

	/**
	 * End the answer with an explicit error, since a part of it went to the caller.
	 *
	 * @param verdict why the answer is not whole
	 */
	record AbortStream(Verdict verdict) implements EntryAction {
	}

	/**
	 * Write a line to the log.
	 *
	 * @param decision what was decided
	 */
	record LogDecision(RetryDecision decision) implements EntryAction {
	}

}
