package io.bulrushrouter.kernel;

import java.util.Locale;

/**
 * The stable codes that callers, operators and logs see.
 */
public enum ErrorCode {

	/** An identifier is malformed. */
	BAD_NAME(400),

	/** The request is malformed. */
	BAD_REQUEST(400),

	/** The key is missing or unknown. */
	UNAUTHORISED(401),

	/** The key may not touch this organisation or upstream. */
	FORBIDDEN(403),

	/** There is no such path or object. */
	NOT_FOUND(404),

	/** No upstream is configured for the model or service. */
	UNKNOWN_MODEL(404),

	/** The caller was too slow to send its request. */
	TIMED_OUT_READING(408),

	/** Somebody else changed the object first. */
	CONFLICT(409),

	/** The idempotency key was used with another request. */
	KEY_REUSED(422),

	/** The request of this idempotency key ran and its answer is not kept. */
	ALREADY_RAN(409),

	/** The request of this idempotency key is running. */
	IN_FLIGHT(409),

	/** The request is larger than the limit. */
	TOO_LARGE(413),

	/** The organisation is over its limit. */
	LIMIT_EXCEEDED(429),

	/** The router failed. */
	INTERNAL(500),

	/** The upstream answered with an error. */
	ENGINE_ERROR(502),

	/** The upstream could not be reached. */
	ENGINE_UNREACHABLE(503),

	/** The connection was lost while the request was in the air. */
	CONNECTION_LOST(502),

	/** The stream could not be carried on. */
	STREAM_BROKEN(502),

	/** The request was shed before it ran. */
	OVERLOADED(503),

	/** The upstream or the entry is leaving. */
	DRAINING(503),

	/** No upstream can take the request now. */
	NO_UPSTREAM(503),

	/** The platform cannot be asked, and the request may not run without it. */
	STORE_UNAVAILABLE(503),

	/** The process has no configuration yet. */
	NOT_READY(503),

	/** The request did not run and the retry budget is spent. */
	RETRY_BUDGET_SPENT(503),

	/** The deadline passed. */
	DEADLINE_EXCEEDED(504),

	/** The caller went away. */
	CANCELLED(499),

	/** The order carries an old fencing number. */
	STALE_FENCE(409),

	/** A setting is missing, unknown or malformed. */
	BAD_SETTINGS(400),

	/** The morning sheet has errors. */
	BAD_SHEET(400),

	/** A sheet of a later day was applied already. */
	STALE_SHEET(409),

	/** The sheet contradicts the evacuation plan or the capacity left. */
	PLAN_CONTRADICTED(409),

	/** The configuration is malformed. */
	BAD_CONFIGURATION(400),

	/** The listening address is taken. */
	PORT_IN_USE(400),

	/** No plug-in of that kind registered the name. */
	PLUGIN_MISSING(400),

	/** A bounded ring is full. */
	RING_FULL(503);

	private final int httpStatus;

	ErrorCode(int httpStatus) {
		this.httpStatus = httpStatus;
	}

	/**
	 * Returns the HTTP status that goes with the code.
	 * @return the status
	 */
	public int httpStatus() {
		return this.httpStatus;
	}

	/**
	 * Returns the code's text in answers and logs, such as {@code no-upstream}.
	 * @return the text
	 */
	public String text() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
