package io.bulrushrouter.evacuation;

import java.util.Locale;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The reason why a step is held back or a line of the report falls short.
 */
public enum ShortfallReason {

	/** The remaining upstreams would lack capacity for the organisations. */
	NO_CAPACITY,

	/** Requests are still in flight. */
	REQUESTS_RUNNING,

	/** The engine refuses the command. */
	ENGINE_REFUSES,

	/** The platform's store cannot be read or written. */
	STORE_DOWN,

	/** Organisations must be moved to another data centre first. */
	ORGANISATIONS_FIRST,

	/** The upstream's state is not known. */
	UNREACHABLE,

	/** The maximum number of upstreams is already leaving at once. */
	RATE_LIMITED,

	/** No sheet has requested it yet. */
	NOT_IN_SHEET,

	/** The plan was cancelled. */
	PLAN_CANCELLED;

	/**
	 * Returns the text that reports and logs use for this reason.
	 * @return the text, such as {@code no-capacity}
	 */
	@JsonValue
	public String text() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
