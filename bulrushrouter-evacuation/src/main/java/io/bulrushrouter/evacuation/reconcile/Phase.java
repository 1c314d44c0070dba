package io.bulrushrouter.evacuation.reconcile;

import java.util.Locale;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The phases of an upstream that leaves, in the order in which it passes through them.
 */
public enum Phase {

	/** Accepts requests. */
	RUNNING,

	/** Its gate rejects new requests; those in flight go on. */
	LEAVING,

	/** Its engine has unloaded its models. */
	UNLOADED,

	/** The upstream is stopped. */
	STOPPED;

	/**
	 * Returns the text of the phase in reports and logs.
	 * @return the text, such as {@code leaving}
	 */
	@JsonValue
	public String text() {
		return name().toLowerCase(Locale.ROOT);
	}

}
