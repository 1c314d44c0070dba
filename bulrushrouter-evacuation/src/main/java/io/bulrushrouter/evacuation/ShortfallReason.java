package io.bulrushrouter.evacuation;

import java.util.Locale;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Why a step is held or a line of the report is short.
 */
public enum ShortfallReason {

	/** The upstreams that remain could not carry the organisations. */
	NO_CAPACITY,

	/** Requests are still running. */
	REQUESTS_RUNNING,

	/** The engine refuses the order. */
	ENGINE_REFUSES,

	/** The platform's store cannot be read or written. */
	STORE_DOWN,

	/** Organisations must be moved away first. */
	ORGANISATIONS_FIRST,

	/** The upstream's state is not known. */
	UNREACHABLE,

	/** As many upstreams as allowed are leaving at once. */
	RATE_LIMITED,

	/** No sheet has asked for it yet. */
	NOT_IN_SHEET,

	/** The plan was cancelled. */
	PLAN_CANCELLED;

	/**
	 * Returns the reason's text in reports and logs.
	 * @return such as {@code no-capacity}
	 */
	@JsonValue
	public String text() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
