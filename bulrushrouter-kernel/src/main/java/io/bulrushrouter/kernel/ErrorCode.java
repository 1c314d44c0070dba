package io.bulrushrouter.kernel;

import java.util.Locale;

/**
 * The stable codes of failures, as returned to callers and operators and written to logs.
 */
public enum ErrorCode {

	/** An identifier is malformed. */
	BAD_NAME(400),

	/** The request is malformed. */
	BAD_REQUEST(400),

	/** The API key is missing or unknown. */
	UNAUTHORISED(401),

	/** The API key has no permission for this organisation or upstream. */
	FORBIDDEN(403),

	/** The path or object does not exist. */
	NOT_FOUND(404),

	/** No upstream is configured for the model or service. */
	UNKNOWN_MODEL(404),

	/** The request was not received in time. */
	TIMED_OUT_READING(408),

	/** The object was changed concurrently. */
	CONFLICT(409),

	/** The idempotency key was used for a different request. */
	KEY_REUSED(422),

	/**
	 * The request with this idempotency key has run, and its answer is no longer stored.
	 */
	ALREADY_RAN(409),

	/** The request with this idempotency key is still running. */
	IN_FLIGHT(409),

	/** The request is larger than the limit. */
	TOO_LARGE(413),

	/** The organisation has exceeded its limit. */
	LIMIT_EXCEEDED(429),

	/** The router failed internally. */
	INTERNAL(500),

	/** The upstream returned an error. */
	ENGINE_ERROR(502),

	/** The upstream could not be reached. */
	ENGINE_UNREACHABLE(503),

	/** The connection was lost while the request was in flight. */
	CONNECTION_LOST(502),

	/** The stream broke off and could not be resumed. */
	STREAM_BROKEN(502),

	/** The request was shed before it ran. */
	OVERLOADED(503),

	/** Requests like this one are suspected of crashing upstreams. */
	QUARANTINED(503),

	/** The upstream or the entry process is draining. */
	DRAINING(503),

	/** No upstream can accept the request at present. */
	NO_UPSTREAM(503),

	/** The platform's store, which the request needs, is unavailable. */
	STORE_UNAVAILABLE(503),

	/** The process has no configuration yet. */
	NOT_READY(503),

	/** The request did not run, and the retry budget is exhausted. */
	RETRY_BUDGET_SPENT(503),

	/** The deadline of the request passed. */
	DEADLINE_EXCEEDED(504),

	/** The caller cancelled the request or disconnected. */
	CANCELLED(499),

	/** The order carries an outdated fencing token. */
	STALE_FENCE(409),

	/** A setting is missing, unknown or malformed. */
	BAD_SETTINGS(400),

	/** The morning sheet has errors. */
	BAD_SHEET(400),

	/** A sheet of a later day has already been applied. */
	STALE_SHEET(409),

	/** The sheet contradicts the evacuation plan or the remaining capacity. */
	PLAN_CONTRADICTED(409),

	/** The configuration is malformed. */
	BAD_CONFIGURATION(400),

	/** The listening address is in use. */
	PORT_IN_USE(400),

	/** No plug-in of the requested kind is registered under the name. */
	PLUGIN_MISSING(400),

	/** The bounded queue of a thread is full. */
	RING_FULL(503);

	private final int httpStatus;

	ErrorCode(int httpStatus) {
		this.httpStatus = httpStatus;
	}

	/**
	 * Returns the HTTP status for this code.
	 * @return the status
	 */
	public int httpStatus() {
		return this.httpStatus;
	}

	/**
	 * Returns the code as text for responses and logs, such as {@code no-upstream}.
	 * @return the text
	 */
	public String text() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
