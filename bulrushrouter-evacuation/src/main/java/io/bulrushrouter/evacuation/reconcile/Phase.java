package io.bulrushrouter.evacuation.reconcile;

import java.util.Locale;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * What an upstream's sidecar says of it, in the order in which it leaves.
 */
public enum Phase {

	/** Takes requests. */
	RUNNING,

	/** Its gate refuses new requests. */
	LEAVING,

	/** Its engine holds no model. */
	UNLOADED,

	/** Stopped. */
	STOPPED;

	/**
	 * Returns the phase's text in reports and logs.
	 * @return such as {@code leaving}
	 */
	@JsonValue
	public String text() {
		return name().toLowerCase(Locale.ROOT);
	}

}
